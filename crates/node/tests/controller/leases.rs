//! Leases and orders over kills and stops of the controller.

use crate::site;

#[test]
fn controller_killed_and_restarted_orders_with_higher_fence() {
    let mut site = site::Site::start(1, None);
    let first = site.control(0);
    let fence = site.ordered(0);
    drop(first);
    let _second = site.control(0);
    site.ordered(fence);
    assert!(
        site.entries[0].process.0.try_wait().unwrap().is_none(),
        "the entry goes on"
    );
}

#[test]
fn controller_stopped_gives_leases_back() {
    let site = site::Site::start(1, None);
    let mut controller = site.control(0);
    let fence = site.ordered(0);
    let pid = controller.0.id().to_string();
    let kill = std::process::Command::new("kill")
        .args(["-TERM", &pid])
        .status();
    assert!(kill.unwrap().success());
    assert!(controller.0.wait().unwrap().success());
    let lease = site.object("leases/00");
    assert!(lease.contains(r#""holder":null"#), "{lease}");
    let _next = site.control(0);
    site.ordered(fence);
}
