//! Results as JSON lines: a header with the experiment, every setting and the build, then one line for each run.
//! They hold nothing of the machine or the moment: the same build, file and seeds write the same bytes.

use super::ready::{Experiment, PreparedExperiment, Setting};
use crate::cold::ColdPeaks;
use crate::pickers::LoadBalancerKind;
use crate::plan::Scenario;
use crate::referee::Breach;
use crate::tally::Totals;
use crate::world::Run;
use serde::{Deserialize, Serialize};
use std::io::{self, BufRead, Write};

/// The version and the commit that the lab was built from.
pub fn build() -> String {
    format!("{} {}", env!("CARGO_PKG_VERSION"), env!("LAB_BUILD"))
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Header {
    pub build: String,
    pub experiment: Experiment,
    /// By number, as rows name them.
    pub settings: Vec<SettingRecord>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SettingRecord {
    pub case: String,
    pub point: Vec<(String, String)>,
    pub scenario: Scenario,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Row {
    pub setting: usize,
    pub case: String,
    pub point: Vec<(String, String)>,
    #[serde(rename = "picker")]
    pub load_balancer: LoadBalancerKind,
    pub seed: u64,
    pub totals: Totals,
    /// Breaches of the four rules, in order.
    #[serde(rename = "broken")]
    pub breach_counts: [u64; 4],
    /// The first few, told one by one.
    pub breaches: Vec<String>,
    /// What cold servers were brought by all copies together.
    #[serde(default)]
    #[serde(rename = "cold")]
    pub cold_peaks: ColdPeaks,
    #[serde(rename = "steps")]
    pub events: u64,
}

impl Row {
    pub fn new(ready: &PreparedExperiment, number: usize, run: &Run) -> Row {
        const TOLD: usize = 3;
        let planned = &ready.runs[number];
        let setting = &ready.settings[planned.setting];
        Row {
            setting: planned.setting,
            case: setting.case.clone(),
            point: setting.point.clone(),
            load_balancer: planned.load_balancer,
            seed: planned.seed,
            totals: run.totals.clone(),
            breach_counts: run.breach_counts,
            breaches: run.breaches.iter().take(TOLD).map(Breach::to_string).collect(),
            cold_peaks: run.cold_peaks.clone(),
            events: run.events,
        }
    }

    /// The case and the point of the axes, as tables name it.
    pub fn name(&self) -> String {
        let point = self.point.iter().map(|(key, value)| format!(" {key}={value}"));
        self.case.clone() + &point.collect::<String>()
    }
}

#[derive(Clone, Debug)]
pub struct Results {
    pub header: Header,
    pub rows: Vec<Row>,
}

impl Results {
    pub fn header_of(ready: &PreparedExperiment) -> Header {
        let told = |setting: &Setting| SettingRecord {
            case: setting.case.clone(),
            point: setting.point.clone(),
            scenario: setting.scenario.clone(),
        };
        Header {
            build: build(),
            experiment: ready.experiment.clone(),
            settings: ready.settings.iter().map(told).collect(),
        }
    }

    pub fn write(&self, into: &mut impl Write) -> io::Result<()> {
        serde_json::to_writer(&mut *into, &self.header)?;
        for row in &self.rows {
            writeln!(into)?;
            serde_json::to_writer(&mut *into, row)?;
        }
        writeln!(into)
    }

    /// Reads what `write` wrote; a line that can't be read is named.
    pub fn read(from: impl BufRead) -> Result<Results, String> {
        let mut header = None;
        let mut rows = Vec::new();
        for (number, line) in (1..).zip(from.lines()) {
            let line = line.map_err(|wrong| wrong.to_string())?;
            let told = |wrong: serde_json::Error| format!("line {number}: {wrong}");
            match header {
                None => header = Some(serde_json::from_str(&line).map_err(told)?),
                Some(_) => rows.push(serde_json::from_str(&line).map_err(told)?),
            }
        }
        Ok(Results { header: header.ok_or("line 1: no header")?, rows })
    }
}
