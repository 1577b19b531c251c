//! The `demo` command, the first that the README shows.

use crate::workdir::{WorkDir, stderr, stdout};

#[test]
fn the_demo_ends_by_itself_with_every_answer_whole() {
    let work = WorkDir::new();

    let output = work.run(&["demo"]);

    assert_eq!(output.status.code(), Some(0), "{}{}", stdout(&output), stderr(&output));
    let text = stdout(&output);
    assert_eq!(
        text.matches("most dispatches of one request 1; order breaks 0").count(),
        2,
        "{text}"
    );
    assert_eq!(
        text.matches("Refused(DeadlineTooShort); one booking sent twice: 1 run").count(),
        2,
        "{text}"
    );
}
