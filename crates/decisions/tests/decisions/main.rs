mod copies;
mod maintenance;
mod moved;
mod plain;
mod rest;
mod rules;
mod scripted;
mod zones;
