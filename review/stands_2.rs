//! The stand-ins and drivers of the cases in review/. `review-stands-2 CASE FOLDER` plays one case, writes `record.txt`
//! into the folder and exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

#[path = "stands_2_control.rs"]
mod control;
#[path = "stands_2_never_ending.rs"]
mod never_ending;
#[path = "stands_2_rig.rs"]
mod rig;
#[path = "stands_2_second_copy.rs"]
mod second_copy;
#[path = "stands_2_zone_words.rs"]
mod zone_words;
#[path = "stands_2_zones.rs"]
mod zones;

use std::path::Path;

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let (Some(case), Some(folder)) = (arguments.first(), arguments.get(1)) else {
        eprintln!("usage: review-stands-2 CASE FOLDER");
        std::process::exit(rig::NOT_RUN);
    };
    rig::begin(Path::new(folder), rig::ms(110_000));
    match case.as_str() {
        "answer" => never_ending::answer_case(),
        "request" => never_ending::request_case(),
        "copies" => second_copy::case(),
        "control" => control::case(),
        "words" => zone_words::case(),
        other => {
            eprintln!("no case {other}");
            std::process::exit(rig::NOT_RUN);
        }
    }
}
