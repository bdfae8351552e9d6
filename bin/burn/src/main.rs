//! `cowslipchute-burn`: parses the command line, prints the report and exits with its exit code.

use std::io::Write as _;
use std::process;

use cowslipchute_burn::command;
use cowslipchute_daemon::settings;

fn main() {
    let options = settings::parse_or_exit(command::options());
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.expect("the runtime can be created");
    match runtime.block_on(command::run(options)) {
        Ok(text) => {
            // A closed pipe is not an error: the reader wanted no more output.
            let _ = std::io::stdout().lock().write_all(text.as_bytes());
        }
        Err(failure) => {
            eprintln!("{failure}");
            process::exit(failure.exit_code());
        }
    }
}
