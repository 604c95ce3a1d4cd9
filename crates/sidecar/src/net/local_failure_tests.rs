//! Errors of system calls are classified by their cause.

use super::*;

#[test]
fn errno_maps_to_failure_cause() {
    let cause_of = |errno: Errno| failure_cause(&io::Error::from(errno));
    assert_eq!(cause_of(Errno::MFILE), FailureCause::Descriptors);
    assert_eq!(cause_of(Errno::NFILE), FailureCause::Descriptors);
    assert_eq!(cause_of(Errno::ADDRNOTAVAIL), FailureCause::LocalResources);
    assert_eq!(cause_of(Errno::NOBUFS), FailureCause::LocalResources);
    assert_eq!(cause_of(Errno::CONNABORTED), FailureCause::Transient);
    for remote in
        [Errno::CONNREFUSED, Errno::HOSTUNREACH, Errno::TIMEDOUT, Errno::NETUNREACH, Errno::CONNRESET]
    {
        assert_eq!(cause_of(remote), FailureCause::Remote, "{remote:?}");
    }
    assert_eq!(failure_cause(&io::Error::other("no number")), FailureCause::Remote);
}
