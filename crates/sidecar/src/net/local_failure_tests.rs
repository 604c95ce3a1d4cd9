//! Which side an error of a system call belongs to.

use super::*;

#[test]
fn ours_are_told_from_a_servers_and_a_paths() {
    let cause_of = |errno: Errno| cause(&io::Error::from(errno));
    assert_eq!(cause_of(Errno::MFILE), FailureCause::Descriptors);
    assert_eq!(cause_of(Errno::NFILE), FailureCause::Descriptors);
    assert_eq!(cause_of(Errno::ADDRNOTAVAIL), FailureCause::LocalResources);
    assert_eq!(cause_of(Errno::NOBUFS), FailureCause::LocalResources);
    assert_eq!(cause_of(Errno::CONNABORTED), FailureCause::Transient);
    for theirs in
        [Errno::CONNREFUSED, Errno::HOSTUNREACH, Errno::TIMEDOUT, Errno::NETUNREACH, Errno::CONNRESET]
    {
        assert_eq!(cause_of(theirs), FailureCause::Remote, "{theirs:?}");
    }
    assert_eq!(cause(&io::Error::other("no number")), FailureCause::Remote);
}
