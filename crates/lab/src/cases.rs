//! Finds experiments and cases by their names on the command line.

use landingspread_lab::experiment::{self, PreparedExperiment, Setting};

/// Finds an experiment or a scenario by name.
pub fn find(name: &str) -> Result<PreparedExperiment, String> {
    experiment::find(name).map_err(|error| error.to_string())
}

/// The setting of a case, or the first one if none is named.
pub fn case_of<'a>(experiment: &'a PreparedExperiment, case: Option<&str>) -> Result<&'a Setting, String> {
    let setting = match case {
        None => experiment.settings.first(),
        Some(case) => experiment.settings.iter().find(|setting| setting.case == case),
    };
    setting.ok_or_else(|| {
        let cases: Vec<&str> = experiment.settings.iter().map(|setting| setting.case.as_str()).collect();
        format!("there is no such case; expected one of {}", cases.join(", "))
    })
}
