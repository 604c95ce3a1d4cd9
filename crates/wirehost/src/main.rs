//! Hosts many decision instances on the simulator's wire: reads lines from standard input, writes replies to standard output,
//! and reports malformed lines on standard error.

use landingspread_wirehost::Dispatcher;
use std::io::{self, BufRead, BufWriter, Write};
use std::process::ExitCode;

fn run() -> io::Result<()> {
    let mut input = io::stdin().lock();
    let mut output = BufWriter::new(io::stdout().lock());
    let mut dispatcher = Dispatcher::default();
    let mut line = Vec::new();
    for number in 1u64.. {
        line.clear();
        if input.read_until(b'\n', &mut line)? == 0 {
            break;
        }
        let text = String::from_utf8_lossy(&line);
        match dispatcher.read_line(text.trim_end_matches(['\n', '\r'])) {
            Ok(None) => {}
            Ok(Some(reply)) => {
                output.write_all(reply.as_bytes())?;
                output.flush()?;
            }
            Err(error) => eprintln!("line {number}: {error}: {:.200}", text.trim_end()),
        }
    }
    Ok(())
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("landingspread-wirehost: {error}");
            ExitCode::FAILURE
        }
    }
}
