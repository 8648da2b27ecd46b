//! The trail of close calls: what it remembers and how much.

use steppick::net::trail::Trail;
use steppick::RequestId;

#[test]
fn close_calls_are_remembered_in_bounded_memory() {
    let mut trail = Trail::default();
    for n in 0..3000 {
        let (at, id) = (f64::from(n) * 100.0, RequestId(n as u64));
        trail.opened(id, format!("q{n}"));
        trail.wrote(id, 1, at);
        // The write ended with the turn; every other answer comes long after it.
        trail.turned(at + 1.0);
        trail.ended(id, at + if n % 2 == 0 { 2.0 } else { 50.0 });
        trail.ended(id, at + 2.0);
    }
    let lines: Vec<String> = trail.near().map(ToString::to_string).collect();
    assert_eq!(lines.len(), 1024);
    let last = "q2998: 1 frames, attempt 1 left at 299801.00, answered 1.00 ms later";
    assert_eq!(lines.last().map(String::as_str), Some(last));
}
