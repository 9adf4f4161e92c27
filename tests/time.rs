//! The one clock that all decide by.

use std::path::Path;
use tidestair::time;

/// Modules that measure a stand-in's or a replay's own pace, or run in a test's simulated time.
const OTHER_CLOCKS: [&str; 4] = ["standin", "replay.rs", "journal.rs", "time.rs"];

fn sources(dir: &Path, found: &mut Vec<(String, String)>) {
    for entry in std::fs::read_dir(dir).expect("a folder of sources") {
        let path = entry.expect("a file").path();
        let name = path.file_name().expect("a name").to_string_lossy().into_owned();
        match () {
            () if OTHER_CLOCKS.contains(&name.as_str()) => {}
            () if path.is_dir() => sources(&path, found),
            () => found.push((name, std::fs::read_to_string(&path).expect("text"))),
        }
    }
}

/// A module that asks the standard library's clock stands still with it while its VM is suspended.
#[test]
fn no_module_asks_a_clock_that_stands_still() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut found = Vec::new();
    sources(&root.join("src"), &mut found);
    sources(&root.join("platform/src"), &mut found);
    assert!(found.len() > 50, "sources are read");
    for (name, text) in found {
        for asks in ["Instant::now", ".elapsed()", "tokio::time::sleep_until"] {
            assert!(!text.contains(asks), "{name} asks the standard clock: {asks}");
        }
    }
}

#[test]
fn the_clock_never_goes_back() {
    let mut last = time::now();
    for _ in 0..10_000 {
        let now = time::now();
        assert!(now >= last);
        last = now;
    }
}
