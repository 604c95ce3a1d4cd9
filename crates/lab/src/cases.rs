//! From the names on the command line to what is played.

use landingspread_lab::experiment::{self, PreparedExperiment, Setting};

pub fn find(name: &str) -> Result<PreparedExperiment, String> {
    experiment::find(name).map_err(|wrong| wrong.to_string())
}

pub fn case_of<'a>(ready: &'a PreparedExperiment, case: Option<&str>) -> Result<&'a Setting, String> {
    let setting = match case {
        None => ready.settings.first(),
        Some(case) => ready.settings.iter().find(|setting| setting.case == case),
    };
    setting.ok_or_else(|| {
        let cases: Vec<&str> = ready.settings.iter().map(|setting| setting.case.as_str()).collect();
        format!("there is no such case; there are {}", cases.join(", "))
    })
}
