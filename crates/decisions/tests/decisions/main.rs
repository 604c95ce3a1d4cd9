mod plain;
mod rules;
mod scripted;
