//! Signals that come as soon as the program says that it listens.

mod support;

use support::hand::Hand;
use support::site::*;
use support::{Folder, Program};

/// Starts that are tried: a signal that came before the program took signals would end it, once in many.
const STARTS: usize = 20;

#[test]
fn a_signal_that_comes_with_the_first_line_is_taken() {
    for _ in 0..STARTS {
        let (discovery, folder) = (Hand::new(), Folder::new("signals"));
        let text = config("127.0.0.1:0", discovery.address, &entry_at(discovery.address, 0, "in_service"));
        let mut program = Program::start(&[], Some(&folder.write("config.json", &text)));
        program.address();
        program.signal("USR1");
        program.line("platform: queries");
        assert!(program.terminate());
    }
}
