//! The platform's stand-ins as one process, for tests with real processes and for trying the system
//! on one machine. It isn't part of a deployment.

mod settings;

use std::fs;
use std::io;
use std::io::Write as _;
use std::path::Path;

use anyhow::Context as _;
use cowslipchute_base::code::Code;
use cowslipchute_daemon::settings as common;
use cowslipchute_standin::Addresses;
use settings::Settings;
use tokio::runtime::Runtime;
use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

fn main() -> anyhow::Result<()> {
    let settings = common::parse_or_exit(settings::settings());
    let plan = settings
        .plan()
        .unwrap_or_else(|problem| common::exit_with_error(Code::BadSetting, &problem.to_string()));
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    // Registered before the addresses are announced, because a reader may send a signal at once.
    let signals = signals(&runtime)?;
    let standin = cowslipchute_standin::open(&plan)
        .unwrap_or_else(|problem| common::exit_with_error(Code::BindFailed, &problem.to_string()));
    announce(&settings, standin.addresses())?;
    runtime.block_on(signals.wait());
    Ok(())
}

/// The signals that end the process. There is no state to save before that.
struct Signals {
    terminate: Signal,
    interrupt: Signal,
}

fn signals(runtime: &Runtime) -> io::Result<Signals> {
    let _entered = runtime.enter();
    let terminate = signal(SignalKind::terminate())?;
    let interrupt = signal(SignalKind::interrupt())?;
    Ok(Signals { terminate, interrupt })
}

impl Signals {
    async fn wait(mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

/// Announces the addresses of all servers as one line of JSON on standard output and in the ready
/// file. The file is renamed into place, so that a process that waits for it never reads an incomplete file.
fn announce(settings: &Settings, addresses: &Addresses) -> anyhow::Result<()> {
    let line = serde_json::to_string(addresses)?;
    if let Some(path) = &settings.ready_file {
        let path = Path::new(path);
        let partial = path.with_extension("partial");
        fs::write(&partial, format!("{line}\n")).context("cannot write the ready file")?;
        fs::rename(&partial, path).context("cannot write the ready file")?;
    }
    let mut stdout = io::stdout();
    // A closed standard output is not an error.
    let _ = writeln!(stdout, "{line}").and_then(|()| stdout.flush());
    Ok(())
}
