//! Results as JSON lines: a header with the build, the experiment and all settings, then one line for each run. They
//! hold no data of the machine or the time: the same build, file and seeds write the same bytes.

use super::ready::{Experiment, PreparedExperiment, Setting};
use crate::cold::ColdPeaks;
use crate::pickers::LoadBalancerKind;
use crate::plan::Scenario;
use crate::referee::Breach;
use crate::tally::Totals;
use crate::world::Run;
use serde::{Deserialize, Serialize};
use std::io::{self, BufRead, Write};

/// The version of the lab and the commit that it was built from.
pub fn build() -> String {
    format!("{} {}", env!("CARGO_PKG_VERSION"), env!("LAB_BUILD"))
}

/// The first line of the results.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Header {
    /// Version and commit of the lab, as `build` returns them.
    pub build: String,
    /// The experiment as its file describes it.
    pub experiment: Experiment,
    /// Indexed by the `setting` of the rows.
    pub settings: Vec<SettingRecord>,
}

/// One setting of the experiment.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SettingRecord {
    /// Name of the case.
    pub case: String,
    /// Key and value of each axis in this setting.
    pub point: Vec<(String, String)>,
    /// The scenario with the faults and axis values applied.
    pub scenario: Scenario,
}

/// The result of one run.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Row {
    /// Index of the setting in the header.
    pub setting: usize,
    /// Name of the case.
    pub case: String,
    /// Key and value of each axis in this setting.
    pub point: Vec<(String, String)>,
    /// Load balancer of the run.
    #[serde(rename = "picker")]
    pub load_balancer: LoadBalancerKind,
    /// Seed of the run.
    pub seed: u64,
    /// Totals of the run, without the settling time.
    pub totals: Totals,
    /// Count of breaches by rule, with rule 1 at index 0.
    #[serde(rename = "broken")]
    pub breach_counts: [u64; 4],
    /// The first few breaches as text.
    pub breaches: Vec<String>,
    /// The highest load that all replicas together put on cold servers.
    #[serde(default, rename = "cold")]
    pub cold_peaks: ColdPeaks,
    /// Number of simulated events.
    #[serde(rename = "steps")]
    pub events: u64,
}

impl Row {
    /// The row of a run, by the index of the run in the experiment.
    pub fn new(experiment: &PreparedExperiment, index: usize, run: &Run) -> Row {
        const MAX_BREACHES: usize = 3;
        let planned = &experiment.runs[index];
        let setting = &experiment.settings[planned.setting];
        Row {
            setting: planned.setting,
            case: setting.case.clone(),
            point: setting.point.clone(),
            load_balancer: planned.load_balancer,
            seed: planned.seed,
            totals: run.totals.clone(),
            breach_counts: run.breach_counts,
            breaches: run.breaches.iter().take(MAX_BREACHES).map(Breach::to_string).collect(),
            cold_peaks: run.cold_peaks.clone(),
            events: run.events,
        }
    }

    /// The case and the values of the axes, as tables show them.
    pub fn name(&self) -> String {
        let point = self.point.iter().map(|(key, value)| format!(" {key}={value}"));
        self.case.clone() + &point.collect::<String>()
    }
}

/// The results of an experiment.
#[derive(Clone, Debug)]
pub struct Results {
    /// The first line of the results.
    pub header: Header,
    /// One row for each run.
    pub rows: Vec<Row>,
}

impl Results {
    /// The header for the results of an experiment.
    pub fn header_of(experiment: &PreparedExperiment) -> Header {
        let record = |setting: &Setting| SettingRecord {
            case: setting.case.clone(),
            point: setting.point.clone(),
            scenario: setting.scenario.clone(),
        };
        Header {
            build: build(),
            experiment: experiment.experiment.clone(),
            settings: experiment.settings.iter().map(record).collect(),
        }
    }

    /// Writes the results as JSON lines.
    pub fn write(&self, writer: &mut impl Write) -> io::Result<()> {
        serde_json::to_writer(&mut *writer, &self.header)?;
        for row in &self.rows {
            writeln!(writer)?;
            serde_json::to_writer(&mut *writer, row)?;
        }
        writeln!(writer)
    }

    /// Reads results that `write` wrote. An error names the line.
    pub fn read(reader: impl BufRead) -> Result<Results, String> {
        let mut header = None;
        let mut rows = Vec::new();
        for (index, line) in (1..).zip(reader.lines()) {
            let line = line.map_err(|error| error.to_string())?;
            let at_line = |error: serde_json::Error| format!("line {index}: {error}");
            match header {
                None => header = Some(serde_json::from_str(&line).map_err(at_line)?),
                Some(_) => rows.push(serde_json::from_str(&line).map_err(at_line)?),
            }
        }
        Ok(Results { header: header.ok_or("line 1: no header")?, rows })
    }
}
