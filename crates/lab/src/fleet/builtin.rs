//! Fleet plans that are built into the lab.

const PLANS: [(&str, &str); 12] = [
    ("members", include_str!("../../plans/fleet/members.toml")),
    ("zones", include_str!("../../plans/fleet/zones.toml")),
    ("zones-calm", include_str!("../../plans/fleet/zones-calm.toml")),
    ("kills", include_str!("../../plans/fleet/kills.toml")),
    ("cuts", include_str!("../../plans/fleet/cuts.toml")),
    ("cold", include_str!("../../plans/fleet/cold.toml")),
    ("cold-sum", include_str!("../../plans/fleet/cold-sum.toml")),
    ("half-gone", include_str!("../../plans/fleet/half-gone.toml")),
    ("quiet", include_str!("../../plans/fleet/quiet.toml")),
    ("lossy", include_str!("../../plans/fleet/lossy.toml")),
    ("mixed-builds", include_str!("../../plans/fleet/mixed-builds.toml")),
    ("starved", include_str!("../../plans/fleet/starved.toml")),
];

/// Names and TOML texts of all built-in plans.
pub fn builtins() -> impl Iterator<Item = (&'static str, &'static str)> {
    PLANS.into_iter()
}

/// The TOML text of a built-in plan.
pub fn builtin(name: &str) -> Option<&'static str> {
    PLANS.into_iter().find(|(known, _)| *known == name).map(|(_, text)| text)
}
