//! Tests of `Policy` with scripted and seeded hosts.

mod logged_host;
mod logged_run;
mod operator_overrides;
mod peer_messages;
mod pinned_calls;
mod preselection_and_peers;
mod random_runs;
mod replicas;
mod requests;
mod scripted_host;
mod settings_changes;
mod skipped_sweeps;
mod zones;
