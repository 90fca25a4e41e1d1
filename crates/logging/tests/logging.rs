//! Format of log lines.

use guavausher_logging as logging;

#[test]
fn line_escapes_control_and_quotes_values() {
    let pairs = [("request", "a b"), ("attempt", "7")];
    let line = logging::format_line(
        &log::Record::builder()
            .args(format_args!("two\nlines"))
            .level(log::Level::Info)
            .target("entry")
            .key_values(&pairs)
            .build(),
    );
    assert!(
        line.ends_with(r#" INFO entry two\nlines request="a b" attempt=7"#),
        "{line}"
    );
}
