//! The stand-ins and experiments of ebonyfork.

use std::process::ExitCode;

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

#[tokio::main]
async fn main() -> ExitCode {
    match ebonyfork_lab::command::run().await {
        Ok(code) => code,
        Err(error) => {
            eprintln!("{error}");
            // 1 means a violation; the run itself failing is told apart.
            ExitCode::from(2)
        }
    }
}
