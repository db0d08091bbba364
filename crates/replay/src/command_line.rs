//! The command line.

use crate::prelude::*;

pub const HELP: &str = "Replays recorded days.

Usage: replay COMMAND FILE... [flags]

  check FILE...                  read recordings and say what is in them
  offline FILE...                place every recorded run again, from what was known at its pick
      --policy FILE              under this policy ({\"weight\": W, \"rules\": [...]}) instead of the recorded one
  play FILE...                   play the day against a fleet; prompts are generated from the block hashes
      --routers IP:PORT,...      where to send it
      --keys FILE                JSON: [[tenant, key], ...]
      --speed N                  how many times faster than recorded, 1 to 100 (default 1)
      --seconds N                begin nothing after so long, 1 to 3600 (default 60)

  --use-cut            use a recording whose last line is cut, without that line
  --help, --version

Exit codes: 0 done, 1 refused, damaged or different, 2 wrong usage.";

/// The parsed command line.
#[derive(Debug, Default)]
pub struct Arguments {
    pub command: String,
    pub files: Vec<String>,
    pub policy: Option<String>,
    pub routers: Vec<String>,
    pub keys: Option<String>,
    pub speed: u64,
    pub seconds: u64,
    pub allows_truncated: bool,
}

/// Parses the command line; `None` if help or version was printed.
pub fn read_arguments() -> Result<Option<Arguments>, Report> {
    let mut arguments = Arguments { speed: 1, seconds: 60, ..Arguments::default() };
    let mut parser = lexopt::Parser::from_env();
    let fault = |fault: lexopt::Error| miette!("{fault}; see replay --help");
    let number = |parser: &mut lexopt::Parser, name: &str, maximum: u64| {
        let text = parser.value().map_err(fault)?.into_string().map_err(|_| miette!("--{name}: not UTF-8"))?;
        let read = text.parse().ok().filter(|number| (1..=maximum).contains(number));
        read.ok_or_else(|| miette!("--{name}: {text} is not 1 to {maximum}"))
    };
    let text = |parser: &mut lexopt::Parser| {
        parser.value().map_err(fault)?.into_string().map_err(|_| miette!("not UTF-8; see replay --help"))
    };
    while let Some(argument) = parser.next().map_err(fault)? {
        match argument {
            lexopt::Arg::Short('h') | lexopt::Arg::Long("help") => {
                println!("{HELP}");
                return Ok(None);
            }
            lexopt::Arg::Short('V') | lexopt::Arg::Long("version") => {
                println!("replay {}", env!("CARGO_PKG_VERSION"));
                return Ok(None);
            }
            lexopt::Arg::Long("policy") => arguments.policy = Some(text(&mut parser)?),
            lexopt::Arg::Long("routers") => {
                arguments.routers = text(&mut parser)?.split(',').map(str::to_owned).collect()
            }
            lexopt::Arg::Long("keys") => arguments.keys = Some(text(&mut parser)?),
            lexopt::Arg::Long("speed") => arguments.speed = number(&mut parser, "speed", 100)?,
            lexopt::Arg::Long("seconds") => arguments.seconds = number(&mut parser, "seconds", 3600)?,
            lexopt::Arg::Long("use-cut") => arguments.allows_truncated = true,
            lexopt::Arg::Value(word) => {
                let word = word.into_string().map_err(|_| miette!("not UTF-8; see replay --help"))?;
                if arguments.command.is_empty() { arguments.command = word } else { arguments.files.push(word) }
            }
            other => return Err(fault(other.unexpected())),
        }
    }
    match arguments.command.as_str() {
        "check" | "offline" | "play" => {}
        "" => return Err(miette!("a command is missing; see replay --help")),
        other => return Err(miette!("unknown command: {other}; see replay --help")),
    }
    if arguments.files.is_empty() {
        return Err(miette!("a recording is missing; see replay --help"));
    }
    Ok(Some(arguments))
}
