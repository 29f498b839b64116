//! Plays one case of the review against real controller processes.
//!
//! Usage: `review-2 CASE PROGRAM RECORD`. With `TROUBLE=0` the disruption is left out. Exit code:
//! 1 if the rule was broken, 0 if it held, 2 if the case could not run.

mod http;
mod msgpack;
mod sites;
mod state;
mod world;

mod cases;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, program, record] = &args[..] else {
        eprintln!("usage: review-2 CASE PROGRAM RECORD");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    // The processes of this case end with it, whatever happens.
    std::thread::spawn(|| {
        std::thread::sleep(std::time::Duration::from_secs(118));
        eprintln!("the case took too long");
        cases::end_world();
        std::process::exit(2);
    });
    let code = match std::panic::catch_unwind(|| cases::run(case, program, record, trouble)) {
        Ok(code) => code,
        Err(_) => 2,
    };
    cases::end_world();
    std::process::exit(code);
}
