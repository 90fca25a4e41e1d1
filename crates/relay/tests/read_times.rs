//! Times at which stored objects were first read.

use guavausher_core::name;
use guavausher_core::relay::revision;
use guavausher_core::time;
use guavausher_relay::{read_times, snapshot};

fn item(name: &str, revision: u64) -> snapshot::Item {
    snapshot::Item {
        name: name::Name::from(name),
        revision: revision::Revision::from_packed(revision),
        body: Vec::new(),
    }
}

/// Each change of any engine's entry made all engines cold again whose entries still stated the
/// cold time of their start.
#[test]
fn first_read_is_kept_while_other_objects_change() {
    let [first, second, third] = [1, 2, 3].map(time::Time::from_millis);
    let times = read_times::ReadTimes::default();
    times.replace(first, &[item("a", 5), item("b", 6)]);
    times.replace(second, &[item("a", 5), item("b", 7)]);
    assert_eq!(times.first_read(third, &name::Name::from("a")), first);
    assert_eq!(times.first_read(third, &name::Name::from("b")), second);
    times.replace(third, &[item("b", 7)]);
    assert_eq!(times.first_read(third, &name::Name::from("a")), third);
}
