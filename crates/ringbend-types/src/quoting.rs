//! Text from outside in output that consists of lines and `key=value` fields.
//!
//! Text that a reader could take for another line or field is written in quotation marks, with the
//! escapes of a Rust string literal. Other text is written as it is.

use std::fmt;

/// The value of a `key=value` field. Fields are separated by spaces.
#[derive(Debug, Clone, Copy)]
pub struct FieldValue<'a>(pub &'a str);

impl fmt::Display for FieldValue<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let separates = |c: char| c.is_whitespace() || matches!(c, '"' | '=') || !is_printable(c);
        write_quoted_if(self.0.contains(separates), self.0, f)
    }
}

/// Text that takes up the rest of a line.
#[derive(Debug, Clone, Copy)]
pub struct LineText<'a>(pub &'a str);

impl fmt::Display for LineText<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let breaks = self.0.starts_with('"') || self.0.contains(|c| !is_printable(c));
        write_quoted_if(breaks, self.0, f)
    }
}

/// Text before `key=value` fields on a line.
#[derive(Debug, Clone, Copy)]
pub struct MessageText<'a>(pub &'a str);

impl fmt::Display for MessageText<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.0.contains('=') {
            return write!(f, "{:?}", self.0);
        }
        LineText(self.0).fmt(f)
    }
}

fn write_quoted_if(quoted: bool, text: &str, f: &mut fmt::Formatter<'_>) -> fmt::Result {
    if quoted { write!(f, "{text:?}") } else { f.write_str(text) }
}

/// Whether a character is visible or a space. Control characters, separators of lines and characters
/// that change the direction of text are not.
fn is_printable(c: char) -> bool {
    c.is_ascii_graphic() || c.escape_debug().len() == 1
}
