mod copies;
mod plain;
mod rules;
mod scripted;
