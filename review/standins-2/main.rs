//! Plays the cases of the second review: `stand-in CASE RECORD`. Exits with 1 if the rule was
//! broken, 0 if it held, and 2 if the case could not run.

mod cases;
mod deployment;
mod http;
mod json;
mod record;
mod store;
mod worker;

use std::process::ExitCode;

fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().collect();
    let (Some(name), Some(path)) = (words.get(1), words.get(2)) else {
        eprintln!("usage: stand-in CASE RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    match cases::play(name, path, trouble) {
        Ok(broken) if broken.is_empty() => {
            println!("{name}: the rule held");
            ExitCode::SUCCESS
        }
        Ok(broken) => {
            println!("{name}: the rule was broken, {} times", broken.len());
            broken.iter().take(10).for_each(|line| println!("  {line}"));
            ExitCode::from(1)
        }
        Err(reason) => {
            println!("{name}: could not run: {reason}");
            ExitCode::from(2)
        }
    }
}
