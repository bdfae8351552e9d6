//! `cowslipchutectl`: parses the command line, runs the command and exits with its exit code.

use std::io::Write as _;
use std::process;

use cowslipchute_base::code::Code;
use cowslipchutectl::command;
use cowslipchutectl::failure::EXIT_SUCCESS;
use cowslipchutectl::failure::Failure;
use cowslipchutectl::run;

/// Width of the printed help, in characters.
const HELP_WIDTH: usize = 100;

fn main() {
    let parser = command::options().max_width(HELP_WIDTH);
    let options = match parser.run_inner(bpaf::Args::current_args()) {
        Ok(options) => options,
        Err(bpaf::ParseFailure::Stderr(text)) => {
            let remedy = "see `cowslipchutectl --help`";
            fail(&Failure::new(Code::BadSetting, text.monochrome(false)).remedy(remedy))
        }
        Err(bpaf::ParseFailure::Stdout(text, full)) => succeed(&text.monochrome(full)),
        Err(bpaf::ParseFailure::Completion(text)) => succeed(&text),
    };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.expect("the runtime can be created");
    match runtime.block_on(run::run(options)) {
        Ok(text) => succeed(&text),
        Err(failure) => fail(&failure),
    }
}

fn succeed(text: &str) -> ! {
    // A closed pipe is not an error: the reader wanted no more output.
    let _ = std::io::stdout().lock().write_all(text.as_bytes());
    process::exit(EXIT_SUCCESS);
}

fn fail(failure: &Failure) -> ! {
    eprintln!("{failure}");
    process::exit(failure.exit_code());
}
