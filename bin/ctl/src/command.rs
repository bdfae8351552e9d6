//! The command line.

use std::path::PathBuf;
use std::time::Duration;

use bpaf::Bpaf;
use cowslipchute_base::id::Revision;
use cowslipchute_resource::Kind;

use crate::output::Format;

/// Declares services, jobs, teams and the policy, and shows the configuration in force.
///
///
/// Resources are written to a file and applied, for example:
/// cowslipchutectl --operator http://10.0.0.1:7300 apply -f web.toml --wait
///
///
/// Exit codes: 0 success, 2 usage error, 3 certainly nothing changed, 4 unknown whether something
/// changed. The file format is described in docs/OPERATING.md, error numbers in docs/RESULTS.md.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Bpaf)]
#[bpaf(options, version)]
pub struct Options {
    /// Operators to contact and the output format.
    #[bpaf(external(general))]
    pub general: General,
    /// The command to run.
    #[bpaf(external(command))]
    pub command: Command,
}

/// Operators to contact and the output format.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Bpaf)]
pub struct General {
    /// URL of an operator process; may be repeated or hold several URLs separated by commas, which
    /// are tried in order when one can't be reached
    #[bpaf(
        long("operator"),
        env("COWSLIPCHUTE_OPERATOR"),
        argument::<String>("URL"),
        many,
        parse(urls)
    )]
    pub operators: Vec<String>,
    /// Output format: table, json or quiet
    #[bpaf(
        short('o'),
        long("output"),
        env("COWSLIPCHUTE_OUTPUT"),
        argument::<String>("FORMAT"),
        fallback(String::from("table")),
        display_fallback,
        parse(format)
    )]
    pub output: Format,
    /// Timeout of one request in seconds
    #[bpaf(
        long("timeout"),
        argument::<u64>("SECONDS"),
        fallback(20),
        display_fallback,
        map(Duration::from_secs)
    )]
    pub timeout: Duration,
}

/// The command to run.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Bpaf)]
pub enum Command {
    /// Create or replace the resources of a file
    ///
    /// Each resource is read first and replaced only if it has not been changed since. A resource
    /// that already equals the one in the file is left unchanged.
    #[bpaf(command)]
    Apply {
        /// The file, or - for standard input
        #[bpaf(short('f'), long("file"), argument("FILE"))]
        file: PathBuf,
        /// Wait until the changes are in force on every instance
        #[bpaf(long("wait"))]
        wait: bool,
        /// Maximum time to wait in seconds
        #[bpaf(
            long("wait-within"),
            argument::<u64>("SECONDS"),
            fallback(60),
            display_fallback,
            map(Duration::from_secs)
        )]
        wait_within: Duration,
    },
    /// Show one resource
    #[bpaf(command)]
    Get {
        /// service, job, team or policy
        #[bpaf(positional::<String>("KIND"), parse(kind))]
        kind: Kind,
        /// Name of the resource
        #[bpaf(positional("NAME"))]
        name: String,
    },
    /// Show all resources of a kind
    #[bpaf(command)]
    List {
        /// service, job, team or policy
        #[bpaf(positional::<String>("KIND"), parse(kind))]
        kind: Kind,
    },
    /// Show changes as they take effect, until interrupted
    #[bpaf(command)]
    Watch {
        /// Show only changes after this revision
        #[bpaf(long("after"), argument("REVISION"), fallback(0), display_fallback)]
        after: Revision,
    },
    /// Remove a resource
    #[bpaf(command)]
    Delete {
        /// Remove the resource only if it is at this revision [default: its current revision]
        #[bpaf(long("revision"), argument("REVISION"), optional)]
        revision: Option<Revision>,
        /// service, job, team or policy
        #[bpaf(positional::<String>("KIND"), parse(kind))]
        kind: Kind,
        /// Name of the resource
        #[bpaf(positional("NAME"))]
        name: String,
    },
    /// Show on how many instances a revision is in force, and which ones lag
    #[bpaf(command)]
    Status {
        /// The revision [default: the one in force at the operator process]
        #[bpaf(long("revision"), argument("REVISION"), optional)]
        revision: Option<Revision>,
    },
    /// Show the actions that the system took automatically
    #[bpaf(command)]
    Events,
    /// Notify every process that an instance is leaving, without waiting for the platform's list
    #[bpaf(command)]
    Drain {
        /// Name of the instance
        #[bpaf(positional("INSTANCE"))]
        instance: String,
    },
    /// Trace a job of the users' platform through the logs of all instances
    ///
    /// Shows each decision about the job with its time and reason, and changes of ownership and of
    /// the store's availability in between. Needs no operator process.
    #[bpaf(command)]
    Trace {
        /// The job's id, in hexadecimal
        #[bpaf(positional("JOB"))]
        job: String,
        /// Log files; standard input if none is given
        #[bpaf(positional("FILE"), many)]
        files: Vec<PathBuf>,
    },
    /// Show completion rates of the users' platform's jobs by job size, from the logs of all instances
    ///
    /// For each queue and each decile of its jobs: the fraction completed in time, and the fraction
    /// completed at all before the job counted as lost. Needs no operator process.
    #[bpaf(command)]
    Sizes {
        /// Log files; standard input if none is given
        #[bpaf(positional("FILE"), many)]
        files: Vec<PathBuf>,
    },
    /// Create the keys and certificates with which the processes authenticate each other
    ///
    /// Without --issue, a new certificate authority and a first certificate are created. Existing
    /// files are never replaced.
    #[bpaf(command)]
    Keys {
        /// Issue another certificate with this name from the authority in the directory
        #[bpaf(long("issue"), argument("NAME"), optional)]
        issue: Option<String>,
        /// Directory that holds the files
        #[bpaf(positional("DIRECTORY"))]
        directory: PathBuf,
    },
}

fn urls(given: Vec<String>) -> Result<Vec<String>, String> {
    let urls = given.iter().flat_map(|list| list.split(','));
    let urls = urls.map(str::trim).filter(|url| !url.is_empty());
    urls.map(url).collect()
}

fn url(text: &str) -> Result<String, String> {
    let problem =
        || format!("{text:?} is not the URL of an operator, such as http://10.0.0.1:7300");
    let parsed = reqwest::Url::parse(text).map_err(|_| problem())?;
    if parsed.scheme() != "http" || !parsed.has_host() {
        return Err(problem());
    }
    Ok(text.trim_end_matches('/').to_owned())
}

fn format(word: String) -> Result<Format, String> {
    let found = Format::from_word(&word);
    found.ok_or_else(|| format!("{word:?} is not an output format; use table, json or quiet"))
}

fn kind(word: String) -> Result<Kind, String> {
    let found = Kind::from_word(&word);
    found
        .ok_or_else(|| format!("{word:?} is not a resource kind; use service, job, team or policy"))
}
