//! Experiments and scenarios that are built into the program.

const PLANS: [(&str, &str); 21] = [
    ("demo", include_str!("../../plans/demo.toml")),
    ("suite", include_str!("../../plans/suite.toml")),
    ("tiers", include_str!("../../plans/tiers.toml")),
    ("chain", include_str!("../../plans/chain.toml")),
    ("chain-short", include_str!("../../plans/chain-short.toml")),
    ("zones", include_str!("../../plans/zones.toml")),
    ("one-tier", include_str!("../../plans/one-tier.toml")),
    ("three-tiers", include_str!("../../plans/three-tiers.toml")),
    ("seventeen-tiers", include_str!("../../plans/seventeen-tiers.toml")),
    ("seventeen-short", include_str!("../../plans/seventeen-short.toml")),
    ("two-zones", include_str!("../../plans/two-zones.toml")),
    ("hundred", include_str!("../../plans/hundred.toml")),
    ("four-copies", include_str!("../../plans/four-copies.toml")),
    ("fleet-service", include_str!("../../plans/fleet-service.toml")),
    ("three-zones", include_str!("../../plans/three-zones.toml")),
    ("fleet-zones", include_str!("../../plans/fleet-zones.toml")),
    ("few-requests", include_str!("../../plans/few-requests.toml")),
    ("cold-sum", include_str!("../../plans/cold-sum.toml")),
    ("cold-sum-many", include_str!("../../plans/cold-sum-many.toml")),
    ("cold-apart", include_str!("../../plans/cold-apart.toml")),
    ("thousands", include_str!("../../plans/thousands.toml")),
];

/// Names and texts of all built-in experiments and scenarios.
pub fn builtins() -> impl Iterator<Item = (&'static str, &'static str)> {
    PLANS.into_iter()
}

/// The text of a built-in experiment or scenario.
pub fn builtin(name: &str) -> Option<&'static str> {
    PLANS.into_iter().find(|(known, _)| *known == name).map(|(_, text)| text)
}
