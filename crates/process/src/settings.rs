//! Settings: a table of keys, read from a JSON file and from flags of the same names. Flags override the file.
//! All errors are reported together, each with the file or flag, the key and the reason.

use crate::prelude::*;

/// The type of a setting's values.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SettingKind {
    /// A text that is not empty.
    Text,
    /// A whole number from the first to the second bound, inclusive.
    Integer(u64, u64),
    /// An IP address and port.
    Address,
    /// Addresses: an array in the file, separated by commas on the command line.
    Addresses,
    /// A path.
    Path,
    /// True or false.
    Flag,
    /// One of these words.
    Choice(&'static [&'static str]),
}

/// One setting of a program.
pub struct Setting {
    /// Its name in the file; the flag has hyphens instead of underscores.
    pub key: &'static str,
    /// What values it takes.
    pub kind: SettingKind,
    /// The value if none is given. Without a default the setting may be missing.
    pub default: Option<&'static str>,
    /// Its purpose, as shown by `--help`.
    pub help: &'static str,
}

/// Creates a row of a settings table.
pub const fn setting(
    key: &'static str,
    kind: SettingKind,
    default: Option<&'static str>,
    help: &'static str,
) -> Setting {
    Setting { key, kind, default, help }
}

/// The log level setting, which most programs have.
pub const LOG_LEVEL: Setting = setting(
    "log_level",
    SettingKind::Choice(&["error", "warn", "info", "debug"]),
    Some("info"),
    "how much is logged",
);

/// The memory limit setting of a program that serves others.
pub const MEMORY_LIMIT: Setting = setting(
    "memory_limit_mb",
    SettingKind::Integer(16, 1 << 24),
    Some("256"),
    "MB of memory of this process; what its clients may make it hold is a part of it",
);

/// The descriptor limit setting of a program that serves others.
pub const DESCRIPTOR_LIMIT: Setting = setting(
    "descriptor_limit",
    SettingKind::Integer(64, 1 << 24),
    Some("4096"),
    "descriptors of this process; the number of its clients' connections is a part of it",
);

const MEGABYTE: u64 = 1_000_000;

/// The limits that the settings `memory_limit_mb` and `descriptor_limit` give a process.
pub fn process_limits(settings: &Settings) -> Result<ProcessLimits, Report> {
    Ok(ProcessLimits::new(settings.whole("memory_limit_mb")? * MEGABYTE, settings.whole("descriptor_limit")?))
}

/// A program and its settings table.
pub struct ProgramSpec {
    /// The program's name.
    pub program: &'static str,
    /// Its description, as shown by `--help`.
    pub about: &'static str,
    /// All its settings.
    pub settings: &'static [Setting],
}

const SETTINGS_BOUNDS: Bounds = Bounds { bytes: 256 << 10, depth: 8 };

/// Exit code for a wrong command line or wrong settings.
pub const EXIT_USAGE: u8 = 2;
/// Exit code for a failure while running.
pub const EXIT_FAULT: u8 = 1;

/// The values of a program's settings.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    values: BTreeMap<&'static str, String>,
    file: Option<PathBuf>,
    flags: BTreeMap<&'static str, String>,
}

/// What the command line asks for.
pub enum CommandLine {
    /// Run the program with these settings.
    Run(Settings),
    /// Nothing more: the help or version was printed.
    Printed,
}

impl ProgramSpec {
    /// Reads the command line and the settings file; `--help` and `--version` are printed here.
    pub fn read(
        &'static self,
        arguments: impl IntoIterator<Item = std::ffi::OsString>,
    ) -> Result<CommandLine, Report> {
        let mut parser = lexopt::Parser::from_args(arguments);
        let mut flags = BTreeMap::new();
        let mut file = None;
        while let Some(argument) = parser.next().map_err(|fault| miette!("{fault}"))? {
            match argument {
                lexopt::Arg::Short('h') | lexopt::Arg::Long("help") => {
                    println!("{}", self.help_text());
                    return Ok(CommandLine::Printed);
                }
                lexopt::Arg::Short('V') | lexopt::Arg::Long("version") => {
                    println!("{} {}", self.program, env!("CARGO_PKG_VERSION"));
                    return Ok(CommandLine::Printed);
                }
                lexopt::Arg::Long("settings") => {
                    let path = parser.value().map_err(|fault| miette!("--settings: {fault}"))?;
                    file = Some(PathBuf::from(path));
                }
                lexopt::Arg::Long(name) => {
                    let key = name.replace('-', "_");
                    let Some(setting) = self.settings.iter().find(|setting| setting.key == key) else {
                        return Err(miette!("unknown flag --{name}; see {} --help", self.program));
                    };
                    let flag_value = if setting.kind == SettingKind::Flag {
                        parser.optional_value().map_or(Ok("true".into()), |value| value.into_string())
                    } else {
                        parser.value().map_err(|fault| miette!("{fault}"))?.into_string()
                    };
                    let flag_value =
                        flag_value.map_err(|_| miette!("--{}: not UTF-8", setting.key.replace('_', "-")))?;
                    flags.insert(setting.key, flag_value);
                }
                other => return Err(miette!("{}; see {} --help", other.unexpected(), self.program)),
            }
        }
        self.merge(file, flags).map(CommandLine::Run)
    }

    /// Reads the settings file again, with the same flags.
    pub fn read_again(&'static self, settings: &Settings) -> Result<Settings, Report> {
        self.merge(settings.file.clone(), settings.flags.clone())
    }

    /// Combines flags, file and defaults, and checks every value.
    fn merge(
        &'static self,
        file: Option<PathBuf>,
        flags: BTreeMap<&'static str, String>,
    ) -> Result<Settings, Report> {
        let mut faults = Vec::new();
        let mut values = match &file {
            Some(path) => self.read_file(path, &mut faults)?,
            None => BTreeMap::new(),
        };
        for (key, flag_value) in &flags {
            values.insert(*key, (format!("--{}", key.replace('_', "-")), flag_value.clone()));
        }
        let mut merged = Settings { file, flags, ..Settings::default() };
        for setting in self.settings {
            let found = values.remove(setting.key);
            let Some((origin, value)) =
                found.or_else(|| setting.default.map(|text| ("default".to_owned(), text.to_owned())))
            else {
                continue;
            };
            if let Err(reason) = check(setting.kind, &value) {
                faults.push(format!("{origin}: {reason}"));
            }
            merged.values.insert(setting.key, value);
        }
        if faults.is_empty() { Ok(merged) } else { Err(miette!("{}", faults.join("\n"))) }
    }

    fn read_file(
        &self,
        path: &std::path::Path,
        faults: &mut Vec<String>,
    ) -> Result<BTreeMap<&'static str, (String, String)>, Report> {
        let shown_path = path.display();
        let bytes = std::fs::read(path).map_err(|fault| miette!("{shown_path}: {fault}"))?;
        let text = String::from_utf8(bytes).map_err(|_| miette!("{shown_path}: not UTF-8"))?;
        let document = parse_bounded(&text, SETTINGS_BOUNDS).map_err(|error| miette!("{shown_path}: {error}"))?;
        let mut errors = Vec::new();
        let mut values = BTreeMap::new();
        if let Some(mut reader) = ObjectReader::open("", &document, &mut errors) {
            for setting in self.settings {
                let value = match setting.kind {
                    SettingKind::Integer(lowest, highest) => {
                        reader.integer(setting.key, lowest, highest).map(|number| number.to_string())
                    }
                    SettingKind::Flag => reader.flag(setting.key).map(|flag| flag.to_string()),
                    SettingKind::Addresses => reader.texts(setting.key).map(|texts| texts.join(",")),
                    _ => reader.text(setting.key),
                };
                if let Some(value) = value {
                    values.insert(setting.key, (format!("{shown_path}: {}", setting.key), value));
                }
            }
            reader.finish();
        }
        faults.extend(errors.into_iter().map(|error| format!("{shown_path}: {error}")));
        Ok(values)
    }

    fn help_text(&self) -> String {
        let mut text = format!("{}\n\nUsage: {} [--settings FILE] [flags]\n\n", self.about, self.program);
        text.push_str("  --settings FILE        read settings from a JSON file; flags win over it\n");
        for setting in self.settings {
            let name = format!("--{} {}", setting.key.replace('_', "-"), describe(setting.kind));
            let default = setting.default.map(|text| format!(" (default {text})")).unwrap_or_default();
            text.push_str(&format!("  {name:<22} {}{default}\n", setting.help));
        }
        text.push_str("  --help, --version\n\nExit codes: 0 done, 1 fault, 2 wrong usage or settings.");
        text
    }
}

fn describe(kind: SettingKind) -> String {
    match kind {
        SettingKind::Text => "TEXT".into(),
        SettingKind::Integer(lowest, highest) => format!("{lowest}..{highest}"),
        SettingKind::Address => "IP:PORT".into(),
        SettingKind::Addresses => "IP:PORT,...".into(),
        SettingKind::Path => "PATH".into(),
        SettingKind::Flag => String::new(),
        SettingKind::Choice(choices) => choices.join("|"),
    }
}

fn check(kind: SettingKind, value: &str) -> Result<(), String> {
    let is_valid = match kind {
        SettingKind::Text | SettingKind::Path => !value.is_empty(),
        SettingKind::Integer(lowest, highest) => {
            value.parse::<u64>().is_ok_and(|number| (lowest..=highest).contains(&number))
        }
        SettingKind::Address => value.parse::<SocketAddr>().is_ok(),
        SettingKind::Addresses => split_list(value).all(|address| address.parse::<SocketAddr>().is_ok()),
        SettingKind::Flag => matches!(value, "true" | "false"),
        SettingKind::Choice(choices) => choices.contains(&value),
    };
    if is_valid { Ok(()) } else { Err(format!("{} is not {}", quote_value(value), expected(kind))) }
}

fn expected(kind: SettingKind) -> String {
    match kind {
        SettingKind::Text | SettingKind::Path => "a text".into(),
        SettingKind::Integer(lowest, highest) => format!("a whole number from {lowest} to {highest}"),
        SettingKind::Address => "an IP address and port".into(),
        SettingKind::Addresses => "a list of IP addresses and ports".into(),
        SettingKind::Flag => "true or false".into(),
        SettingKind::Choice(choices) => format!("one of {}", choices.join(", ")),
    }
}

fn split_list(value: &str) -> impl Iterator<Item = &str> {
    value.split(',').map(str::trim).filter(|address| !address.is_empty())
}

impl Settings {
    /// A setting's text, if it is set.
    pub fn get(&self, key: &str) -> Option<&str> {
        self.values.get(key).map(String::as_str)
    }

    /// The text of a required setting; an error if it has no default and was not given.
    pub fn text(&self, key: &str) -> Result<&str, Report> {
        let flag_name = key.replace('_', "-");
        self.get(key).ok_or_else(|| miette!("{key} is missing: give it in the settings file or as --{flag_name}"))
    }

    /// A setting as a whole number.
    pub fn whole(&self, key: &str) -> Result<u64, Report> {
        self.text(key)?.parse().map_err(|_| miette!("{key} is not a number"))
    }

    /// A setting in milliseconds.
    pub fn millis(&self, key: &str) -> Result<Span, Report> {
        Ok(Span::millis(self.whole(key)?))
    }

    /// A setting as an address.
    pub fn address(&self, key: &str) -> Result<SocketAddr, Report> {
        self.text(key)?.parse().map_err(|_| miette!("{key} is not an address"))
    }

    /// A setting as a list of addresses; empty if it is missing.
    pub fn addresses(&self, key: &str) -> Vec<String> {
        self.get(key).map(|value| split_list(value).map(str::to_owned).collect()).unwrap_or_default()
    }

    /// Whether a flag is set.
    pub fn flag(&self, key: &str) -> bool {
        self.get(key) == Some("true")
    }
}

#[cfg(test)]
mod tests {
    use crate::prelude::*;

    static TEST_PROGRAM: ProgramSpec = ProgramSpec {
        program: "tested",
        about: "",
        settings: &[
            setting("listen", SettingKind::Address, Some("127.0.0.1:0"), ""),
            setting("share", SettingKind::Integer(1, 9), Some("3"), ""),
            setting("seeds", SettingKind::Addresses, None, ""),
        ],
    };

    fn read_with_file(text: &str, flags: &[&str]) -> Result<Settings, String> {
        let path = std::env::temp_dir().join(format!("process-{}.json", NodeId::random()));
        std::fs::write(&path, text).unwrap();
        let mut arguments: Vec<std::ffi::OsString> = vec!["tested".into(), "--settings".into(), path.clone().into()];
        arguments.extend(flags.iter().map(std::ffi::OsString::from));
        let outcome = TEST_PROGRAM.read(arguments.into_iter().skip(1));
        std::fs::remove_file(&path).unwrap();
        match outcome {
            Ok(CommandLine::Run(settings)) => Ok(settings),
            Ok(CommandLine::Printed) => Err("printed".into()),
            Err(report) => Err(report.to_string().replace(&path.display().to_string(), "FILE")),
        }
    }

    #[test]
    fn errors_name_file_key_and_reason() {
        let refused = [
            (r#"{"share":10}"#, "FILE: share: out of range: 10, allowed 1 to 9"),
            (r#"{"share":"x"}"#, "FILE: share: wrong type: expected number, found string"),
            (r#"{"shares":1}"#, "FILE: shares: unknown key"),
            (r#"{"share":1,"share":2}"#, "FILE: share: duplicate key"),
            (r#"{"seeds":["host:1"]}"#, "FILE: seeds: host:1 is not a list of IP addresses and ports"),
            (r#"{"a":[[[[[[[[[1]]]]]]]]]}"#, "FILE: a: too deep: more than 8 levels"),
        ];
        for (text, reason) in refused {
            assert_eq!(read_with_file(text, &[]).unwrap_err(), reason, "{text}");
        }
        assert_eq!(
            read_with_file("{}", &["--share", "x"]).unwrap_err(),
            "--share: x is not a whole number from 1 to 9"
        );
        let settings =
            read_with_file(r#"{"share":4,"seeds":["127.0.0.1:1","127.0.0.1:2"]}"#, &["--share=5"]).unwrap();
        assert_eq!(settings.whole("share").unwrap(), 5);
        assert_eq!(settings.addresses("seeds").len(), 2);
    }
}
