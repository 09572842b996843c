//! Command-line program for operators.

use std::process::ExitCode;

use cli::{
    OperatorArgs,
    run_command, //
};

fn main() -> ExitCode {
    let args: OperatorArgs = argh::from_env();
    match run_command(&args) {
        Ok(report) if args.json => {
            println!("{}", report.json);
            ExitCode::SUCCESS
        }
        Ok(report) => {
            print!("{}", report.text);
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("galenarail: {error}");
            eprintln!("hint: {}", error.hint());
            ExitCode::FAILURE
        }
    }
}
