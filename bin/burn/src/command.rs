//! The command line and the command that makes a report from it.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use bpaf::Bpaf;
use cowslipchute_base::class::Class;
use cowslipchute_base::code::Code;

use crate::chart;
use crate::collect;
use crate::collect::Collection;
use crate::failure::Failure;
use crate::objective::Objective;
use crate::report;
use crate::report::Query;
use crate::sample;
use crate::span;
use crate::text;

/// Report windows before scaling: 5 minutes, 1 hour, 6 hours, 3 days.
const WINDOWS: [Duration; 4] = [
    Duration::from_secs(300),
    Duration::from_secs(3600),
    Duration::from_secs(6 * 3600),
    Duration::from_secs(3 * 86_400),
];

/// Reports the rate at which each service spends its error budget, and the causes.
#[derive(Clone, Debug)]
#[derive(Bpaf)]
#[bpaf(options, version)]
pub struct Options {
    /// Admin address of an entry process to read; may be repeated
    #[bpaf(long("admin"), argument("IP:PORT"))]
    pub admins: Vec<SocketAddr>,
    /// File of saved samples to read; may be repeated
    #[bpaf(long("read"), argument("FILE"))]
    pub files: Vec<PathBuf>,
    /// File to which the new samples are appended
    #[bpaf(long("save"), argument("FILE"))]
    pub save: Option<PathBuf>,
    /// Number of samples to take of each entry process
    #[bpaf(
        long("samples"),
        env("COWSLIPCHUTE_BURN_SAMPLES"),
        argument("NUMBER"),
        fallback(2),
        display_fallback
    )]
    pub samples: u32,
    /// Interval between two samples in seconds
    #[bpaf(
        long("every"),
        env("COWSLIPCHUTE_BURN_EVERY"),
        argument("SECONDS"),
        fallback(10.0),
        display_fallback
    )]
    pub every: f64,
    /// Percentage of requests that must be answered
    #[bpaf(
        long("target"),
        env("COWSLIPCHUTE_BURN_TARGET"),
        argument("PERCENT"),
        fallback(99.9),
        display_fallback
    )]
    pub target: f64,
    /// Latency objective in milliseconds; preferably a bucket bound of the latency histogram
    #[bpaf(
        long("slow"),
        env("COWSLIPCHUTE_BURN_SLOW"),
        argument("MS"),
        fallback(200.0),
        display_fallback
    )]
    pub slow: f64,
    /// Percentage of requests that must meet the latency objective
    #[bpaf(
        long("slow-target"),
        env("COWSLIPCHUTE_BURN_SLOW_TARGET"),
        argument("PERCENT"),
        fallback(99.0),
        display_fallback
    )]
    pub slow_target: f64,
    /// Class of requests that the objectives apply to: paying, trial or batch
    #[bpaf(
        long("class"),
        env("COWSLIPCHUTE_BURN_CLASS"),
        argument("CLASS"),
        fallback(String::from("paying")),
        display_fallback
    )]
    pub class: String,
    /// Factor by which the windows of 5 minutes, 1 hour, 6 hours and 3 days are scaled
    #[bpaf(
        long("scale"),
        env("COWSLIPCHUTE_BURN_SCALE"),
        argument("FACTOR"),
        fallback(1.0),
        display_fallback
    )]
    pub scale: f64,
    /// Print the report as JSON
    pub json: bool,
    /// File to which a chart is written
    #[bpaf(long("svg"), argument("FILE"))]
    pub svg: Option<PathBuf>,
}

/// Runs the command and returns the output to print.
///
/// # Errors
///
/// When an option is out of range, a file can't be read or written, or no entry process can be read.
pub async fn run(options: Options) -> Result<String, Failure> {
    let query = query(&options)?;
    let Collection { samples, missing } = collect_samples(&options).await?;
    let spans = span::spans(&samples)?;
    let report = report::report(&query, &spans, missing);
    if let Some(path) = &options.svg {
        chart::write(path, &report, &spans)?;
    }
    if options.json {
        let json = serde_json::to_string_pretty(&report).expect("a report can be serialized");
        return Ok(json + "\n");
    }
    Ok(text::render(&report))
}

async fn collect_samples(options: &Options) -> Result<Collection, Failure> {
    let mut collection = Collection::default();
    for file in &options.files {
        collection.samples.extend(sample::read(file)?);
    }
    if !options.admins.is_empty() {
        let interval = Duration::from_secs_f64(options.every);
        let progress = |done| eprintln!("sample {done} of {} taken", options.samples);
        let new = collect::collect(&options.admins, options.samples, interval, progress).await?;
        if let Some(path) = &options.save {
            sample::append(path, &new.samples)?;
        }
        collection.samples.extend(new.samples);
        collection.missing = new.missing;
    }
    Ok(collection)
}

/// Validates the options and converts them to report parameters.
///
/// # Errors
///
/// When an option is out of range.
pub fn query(options: &Options) -> Result<Query, Failure> {
    if options.admins.is_empty() && options.files.is_empty() {
        return Err(bad_setting(
            "pass the address of an entry process with --admin or a file with --read",
        ));
    }
    let has_spans = options.samples >= 2 || !options.files.is_empty() || options.save.is_some();
    if options.samples == 0 || !has_spans {
        return Err(bad_setting("--samples: a report needs at least two samples"));
    }
    if !Class::ALL.iter().any(|class| class.as_str() == options.class) {
        return Err(bad_setting("--class: use paying, trial or batch"));
    }
    let interval = check_range("--every", options.every, 0.01, 86_400.0)?;
    debug_assert!(interval > 0.0, "samples are taken one after another");
    let scale = check_range("--scale", options.scale, 0.0001, 10.0)?;
    let objective = Objective {
        class: options.class.clone(),
        answered: fraction("--target", options.target)?,
        in_time: fraction("--slow-target", options.slow_target)?,
        within: check_range("--slow", options.slow, 0.1, 3_600_000.0)? / 1000.0,
    };
    let windows = WINDOWS.iter().map(|window| window.mul_f64(scale)).collect();
    Ok(Query { objective, windows })
}

fn fraction(option: &str, percent: f64) -> Result<f64, Failure> {
    // An objective of 100 % leaves no error budget.
    Ok(check_range(option, percent, 0.0, 99.9999)? / 100.0)
}

fn check_range(option: &str, value: f64, low: f64, high: f64) -> Result<f64, Failure> {
    if value.is_finite() && (low..=high).contains(&value) {
        return Ok(value);
    }
    Err(bad_setting(&format!("{option}: {value} is not between {low} and {high}")))
}

fn bad_setting(text: &str) -> Failure {
    Failure::new(Code::BadSetting, text)
}
