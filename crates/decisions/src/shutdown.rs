//! The end of this copy's process: what it still has is due before that.

use crate::host::Host;
use crate::policy::Policy;
use std::time::Duration;

impl<H: Host> Policy<H> {
    /// No command may be answered later than `at`; whoever calls it ends by then what is still out. One whose last byte
    /// is still to come is told its time with that.
    pub fn shut_down_by(&mut self, now: Duration, at: Duration) {
        self.now = now;
        let known = self.cmds.values_mut().filter(|cmd| !cmd.coming);
        known.for_each(|cmd| cmd.good_until = cmd.good_until.min(at));
    }
}
