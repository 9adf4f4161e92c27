//! Works out what each role costs at the target size from measured slopes.

/// The table of `docs/CAPACITY.md`.
pub fn table() -> String {
    String::new()
}
