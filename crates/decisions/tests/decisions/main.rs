mod changed;
mod copies;
mod maintenance;
mod moved;
mod plain;
mod rules;
mod scripted;
mod zones;
