//! Stand-ins for the review scripts: the platform's store, replicas as processes of their own, a client, and the
//! gateway as a process started with the command of the deploy file. Only the standard library is used.

mod cases;
mod client;
mod fleet;
mod http;
mod json;
mod replica;
mod store;

use std::process::exit;

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let words: Vec<&str> = args.iter().map(String::as_str).collect();
    match words.as_slice() {
        ["replica", rest @ ..] => replica::run(rest),
        ["case", name, folder] => exit(cases::run(name, folder)),
        _ => {
            eprintln!("usage: stand case NAME FOLDER | stand replica ID ADDR NAME=VALUE...");
            exit(2)
        }
    }
}
