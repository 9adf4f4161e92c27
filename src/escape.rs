//! Escapes texts that others chose for the targets of HTTP requests, which HTTP clients take as they are.

use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, PercentEncode, utf8_percent_encode};

/// Characters that are escaped in a segment of a path.
const SEGMENT: &AsciiSet = &NON_ALPHANUMERIC.remove(b'-').remove(b'.').remove(b'_').remove(b'~');
/// Characters that are escaped in a query. A blank is not written as `+`, which not every server decodes.
const QUERY: &AsciiSet = &SEGMENT.remove(b'/');

/// Escapes one segment of a path.
pub fn segment(text: &str) -> PercentEncode<'_> {
    utf8_percent_encode(text, SEGMENT)
}

/// Escapes a value in a query.
pub fn query(text: &str) -> PercentEncode<'_> {
    utf8_percent_encode(text, QUERY)
}
