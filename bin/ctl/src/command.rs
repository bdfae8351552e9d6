//! The command line.

use std::path::PathBuf;
use std::time::Duration;

use bpaf::Bpaf;
use cowslipchute_base::id::Revision;
use cowslipchute_resource::Kind;

use crate::output::Format;

/// Declares services, jobs, teams and the policy, and shows what is in force.
///
///
/// Resources are written in a file and applied, such as by:
/// cowslipchutectl --operator http://10.0.0.1:7300 apply -f web.toml --wait
///
///
/// Exit codes: 0 done, 2 wrong use, 3 surely nothing changed, 4 it can't be told whether something
/// changed. The format of files is described in docs/OPERATING.md, error numbers in docs/RESULTS.md.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Bpaf)]
#[bpaf(options, version)]
pub struct Options {
    /// How to reach the operators and print what they answer.
    #[bpaf(external(general))]
    pub general: General,
    /// What to do.
    #[bpaf(external(command))]
    pub command: Command,
}

/// How to reach the operators and print what they answer.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Bpaf)]
pub struct General {
    /// URL of an operator process; several may be given, one by one or separated by commas, and the
    /// next one is asked when one can't be reached
    #[bpaf(
        long("operator"),
        env("COWSLIPCHUTE_OPERATOR"),
        argument::<String>("URL"),
        many,
        parse(urls)
    )]
    pub operators: Vec<String>,
    /// What is printed: table, json or quiet
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
    /// Seconds that one request may take
    #[bpaf(
        long("timeout"),
        argument::<u64>("SECONDS"),
        fallback(20),
        display_fallback,
        map(Duration::from_secs)
    )]
    pub timeout: Duration,
}

/// What to do.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Bpaf)]
pub enum Command {
    /// Create or replace the resources of a file
    ///
    /// Each resource is read first and replaced only if nobody has changed it meanwhile. One that is
    /// already as the file says is left alone.
    #[bpaf(command)]
    Apply {
        /// The file, or - for standard input
        #[bpaf(short('f'), long("file"), argument("FILE"))]
        file: PathBuf,
        /// Wait until the changes are in force on every instance
        #[bpaf(long("wait"))]
        wait: bool,
        /// Seconds to wait at most
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
    /// Show changes as they come into force, until interrupted
    #[bpaf(command)]
    Watch {
        /// Show only what changed after this revision
        #[bpaf(long("after"), argument("REVISION"), fallback(0), display_fallback)]
        after: Revision,
    },
    /// Remove a resource
    #[bpaf(command)]
    Delete {
        /// Remove it only if it is at this revision [default: the one it is at now]
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
    /// Show the changes that the system made on its own
    #[bpaf(command)]
    Events,
    /// Tell every process now that an instance is leaving, ahead of the platform's list
    #[bpaf(command)]
    Drain {
        /// Name of the instance
        #[bpaf(positional("INSTANCE"))]
        instance: String,
    },
    /// Follow a job of the users' platform through the logs of all instances
    ///
    /// Shows what was decided about it, when and why, and what happened to the owner and the store
    /// meanwhile. Needs no operator process.
    #[bpaf(command)]
    Trace {
        /// The job's number
        #[bpaf(positional("JOB"))]
        job: String,
        /// Logs, or standard input if none is given
        #[bpaf(positional("FILE"), many)]
        files: Vec<PathBuf>,
    },
    /// Show how jobs of the users' platform were served by their size, from the logs of all instances
    ///
    /// For each queue and each tenth of its jobs: the part that was done in time, and the part that was
    /// done at all before it counted as lost. Needs no operator process.
    #[bpaf(command)]
    Sizes {
        /// Logs, or standard input if none is given
        #[bpaf(positional("FILE"), many)]
        files: Vec<PathBuf>,
    },
    /// Make the keys and certificates by which the processes know each other
    ///
    /// Without --issue a new authority and a first certificate are made. Files that exist are never
    /// replaced.
    #[bpaf(command)]
    Keys {
        /// Make one more certificate of the authority in the directory, under this name
        #[bpaf(long("issue"), argument("NAME"), optional)]
        issue: Option<String>,
        /// Directory of the files
        #[bpaf(positional("DIRECTORY"))]
        directory: PathBuf,
    },
}

fn urls(given: Vec<String>) -> Result<Vec<String>, String> {
    let urls = given.iter().flat_map(|some| some.split(','));
    let urls = urls.map(str::trim).filter(|url| !url.is_empty());
    urls.map(url).collect()
}

fn url(text: &str) -> Result<String, String> {
    let problem = || format!("{text:?} is no URL of an operator, such as http://10.0.0.1:7300");
    let parsed = reqwest::Url::parse(text).map_err(|_| problem())?;
    if parsed.scheme() != "http" || !parsed.has_host() {
        return Err(problem());
    }
    Ok(text.trim_end_matches('/').to_owned())
}

fn format(word: String) -> Result<Format, String> {
    let found = Format::from_word(&word);
    found.ok_or_else(|| format!("{word:?} is no format; use table, json or quiet"))
}

fn kind(word: String) -> Result<Kind, String> {
    let found = Kind::from_word(&word);
    found.ok_or_else(|| format!("{word:?} is no kind; use service, job, team or policy"))
}
