//! Settings from flags and environment variables, validated before anything is started.
//!
//! An invalid setting ends the process immediately with the numbered error 3000 of `docs/RESULTS.md`
//! and exit code 2, so that an operator and a supervisor can distinguish it from a crash.

use std::net::SocketAddr;
use std::process;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use bpaf::Bpaf;
use bpaf::OptionParser;
use bpaf::ParseFailure;
use cowslipchute_base::code::Code;
use cowslipchute_base::id;
use cowslipchute_base::name;

/// Exit code of a process with invalid settings.
pub const EXIT_BAD_SETTING: i32 = 2;
/// Width of the help text in characters.
const HELP_WIDTH: usize = 100;

/// Settings that all daemons have.
#[derive(Clone, Debug)]
#[derive(Bpaf)]
pub struct Common {
    /// Name of this instance
    #[bpaf(
        long("instance"),
        env("COWSLIPCHUTE_INSTANCE"),
        argument::<String>("NAME"),
        parse(parse_name)
    )]
    pub instance: String,
    /// Failure domain of this instance
    #[bpaf(long("domain"), env("COWSLIPCHUTE_DOMAIN"), argument::<String>("NAME"), parse(parse_name))]
    pub domain: String,
    /// Incarnation of this instance, as in the platform's list [default: time of start]
    #[bpaf(
        long("incarnation"),
        env("COWSLIPCHUTE_INCARNATION"),
        argument("NUMBER"),
        fallback_with(unix_millis)
    )]
    pub incarnation: u64,
    /// Address for metrics, health and readiness
    #[bpaf(long("admin"), env("COWSLIPCHUTE_ADMIN"), argument("IP:PORT"))]
    pub admin: SocketAddr,
    /// Time allowed for a planned stop, in milliseconds
    #[bpaf(
        long("stop-within"),
        env("COWSLIPCHUTE_STOP_WITHIN"),
        argument("MS"),
        fallback(20_000),
        display_fallback
    )]
    pub stop_within: u64,
    /// Minimum level of log lines: debug, info, warning or error
    #[bpaf(
        long("log-level"),
        env("COWSLIPCHUTE_LOG_LEVEL"),
        argument::<String>("LEVEL"),
        fallback(String::from("info")),
        display_fallback,
        parse(parse_level)
    )]
    pub log_level: slog::Level,
}

impl Common {
    /// Returns the instance's name as an id.
    pub fn instance(&self) -> id::Instance {
        self.instance.as_str().into()
    }

    /// Returns the failure domain as an id.
    pub fn domain(&self) -> id::Domain {
        self.domain.as_str().into()
    }

    /// Returns the time allowed for a planned stop.
    pub fn stop_within(&self) -> Duration {
        Duration::from_millis(self.stop_within)
    }
}

/// Returns the Unix time in milliseconds: a later incarnation of an instance gets a higher number.
fn unix_millis() -> Result<u64, &'static str> {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map(|time| time.as_millis() as u64).map_err(|_| "the wall clock is before 1970")
}

fn parse_name(name: String) -> Result<String, String> {
    match name::check(&name) {
        Ok(()) => Ok(name),
        Err(error) => Err(format!("{error}; {}", name::REMEDY)),
    }
}

/// Parses a log level.
///
/// # Errors
///
/// Fails if the word is not the name of a level.
pub fn parse_level(word: String) -> Result<slog::Level, String> {
    match word.as_str() {
        "debug" => Ok(slog::Level::Debug),
        "info" => Ok(slog::Level::Info),
        "warning" => Ok(slog::Level::Warning),
        "error" => Ok(slog::Level::Error),
        _ => Err(format!("{word:?} is not a log level; use debug, info, warning or error")),
    }
}

/// Parses the settings of this process, or ends it with help, the version or a numbered error.
pub fn parse_or_exit<T>(parser: OptionParser<T>) -> T {
    match parser.run_inner(bpaf::Args::current_args()) {
        Ok(settings) => settings,
        Err(ParseFailure::Stdout(text, full)) => {
            print!("{}", text.monochrome(full));
            process::exit(0);
        }
        Err(ParseFailure::Completion(text)) => {
            print!("{text}");
            process::exit(0);
        }
        Err(ParseFailure::Stderr(text)) => {
            exit_with_error(Code::BadSetting, &text.monochrome(false))
        }
    }
}

/// Prints a numbered error and ends the process, before it has started anything.
pub fn exit_with_error(code: Code, problem: &str) -> ! {
    eprintln!("error {} {}: {problem}", code.number(), code.name());
    process::exit(EXIT_BAD_SETTING);
}

/// Returns the help text of a parser, for the settings table of the docs.
pub fn help<T>(parser: &OptionParser<T>) -> String {
    match parser.run_inner(&["--help"][..]) {
        Err(ParseFailure::Stdout(text, full)) => {
            let rendered = text.monochrome(full);
            debug_assert!(
                rendered.lines().all(|line| line.len() < 2 * HELP_WIDTH),
                "help fits a screen"
            );
            rendered
        }
        _ => String::new(),
    }
}
