//! Admission controller.

use guavausher_core::admission;
use guavausher_core::declaration;
use guavausher_core::name;
use guavausher_core::time;
use rstest::rstest;

const NOW: time::Time = time::Time::from_millis(1_000);

fn name(text: &str) -> name::Name {
    name::Name::from(text)
}

fn workspace(text: &str, weight: u32) -> declaration::Workspace {
    declaration::Workspace {
        name: name(text),
        weight,
        rate: 1_000,
        concurrency: 200,
    }
}

fn admission(slots: u32) -> admission::Controller {
    let mut admission = admission::Controller::new(7);
    let declaration = declaration::Declaration {
        workspaces: vec![
            workspace("large", 1),
            workspace("small", 1),
            workspace("heavy", 3),
        ],
        ..declaration::Declaration::default()
    };
    admission.declare(NOW, &declaration);
    admission.set_capacity(NOW, &name("guava-model"), slots);
    admission
}

fn ticket(request: u64, workspace: &str) -> admission::Ticket {
    admission::Ticket {
        request,
        workspace: name(workspace),
        service: name("guava-model"),
        priority: declaration::Priority::Quick,
        cost: 100,
        deadline: time::Time::from_millis(60_000),
    }
}

fn long(request: u64, workspace: &str) -> admission::Ticket {
    admission::Ticket {
        priority: declaration::Priority::Long,
        ..ticket(request, workspace)
    }
}

/// Releases the oldest running request and polls, `rounds` times; returns the order of grants.
fn drain(admission: &mut admission::Controller, running: &mut Vec<u64>, rounds: usize) -> Vec<u64> {
    let mut order = Vec::new();
    for _ in 0..rounds {
        if running.is_empty() {
            break;
        }
        admission.release(NOW, running.remove(0), true);
        let outcome = admission.poll(NOW);
        running.extend(&outcome.granted);
        order.extend(outcome.granted);
    }
    order
}

/// Fills a controller of four slots with the requests of one workspace and queues more of them.
fn saturated() -> (admission::Controller, Vec<u64>) {
    let mut admission = admission(4);
    let mut running = Vec::new();
    for request in 0..40 {
        if admission.offer(NOW, ticket(request, "large")) == admission::Decision::Admit {
            running.push(request);
        }
    }
    (admission, running)
}

#[test]
fn offer_admits_up_to_capacity() {
    let (_, running) = saturated();
    assert_eq!(running.len(), 4);
}

#[rstest]
#[case::equal("small", 8)]
#[case::weighted("heavy", 12)]
fn poll_shares_by_weight(#[case] other: &str, #[case] least: usize) {
    let (mut admission, mut running) = saturated();
    for request in 100..140 {
        assert_eq!(
            admission.offer(NOW, ticket(request, other)),
            admission::Decision::Queue
        );
    }
    let order = drain(&mut admission, &mut running, 16);
    let granted = order.iter().filter(|&&request| request >= 100).count();
    assert!(granted >= least, "{granted} of {} grants", order.len());
}

#[test]
fn poll_starves_neither_class() {
    let (mut admission, mut running) = saturated();
    for request in 200..210 {
        admission.offer(NOW, long(request, "small"));
    }
    let order = drain(&mut admission, &mut running, 20);
    let granted = order.iter().filter(|&&request| request >= 200).count();
    assert!(
        (3..=10).contains(&granted),
        "{granted} long grants of {}",
        order.len()
    );
}

#[test]
fn offer_refuses_unreachable_deadline() {
    let (mut admission, _) = saturated();
    let mut late = ticket(50, "small");
    late.deadline = time::Time::from_millis(1_001);
    let admission::Decision::Refuse(refusal) = admission.offer(NOW, late) else {
        panic!("not refused");
    };
    assert_eq!(refusal.reason, admission::Reason::Deadline);
    assert!(refusal.retry_at > NOW);
}

#[test]
fn poll_refuses_before_deadline() {
    let (mut admission, _) = saturated();
    let mut short = ticket(50, "small");
    short.deadline = time::Time::from_millis(10_000);
    assert_eq!(admission.offer(NOW, short), admission::Decision::Queue);
    let wake = admission.wake().expect("a deadline is queued");
    assert!(
        wake > NOW && wake < time::Time::from_millis(10_000),
        "{wake:?} leaves no time"
    );
    assert!(
        admission
            .poll(time::Time::from_millis(1_100))
            .refused
            .is_empty()
    );
    let outcome = admission.poll(wake);
    let refused: Vec<_> = outcome
        .refused
        .iter()
        .map(|refusal| refusal.request)
        .collect();
    assert_eq!(refused, [50]);
}

#[test]
fn offer_bounds_queue() {
    let mut admission = admission(0);
    let mut queued = 0;
    for request in 0..200 {
        if admission.offer(NOW, ticket(request, "large")) == admission::Decision::Queue {
            queued += 1;
        }
    }
    assert!(queued <= 64, "{queued} queued");
}

#[test]
fn offer_limits_rate() {
    let mut admission = admission(10_000);
    let declaration = declaration::Declaration {
        workspaces: vec![declaration::Workspace {
            rate: 5,
            ..workspace("large", 1)
        }],
        ..declaration::Declaration::default()
    };
    admission.declare(NOW, &declaration);
    let decisions: Vec<_> = (0..10)
        .map(|request| admission.offer(NOW, ticket(request, "large")))
        .collect();
    let admitted = decisions
        .iter()
        .filter(|d| **d == admission::Decision::Admit)
        .count();
    assert_eq!(admitted, 5);
}

#[test]
fn offer_refuses_unknown_workspace() {
    let mut admission = admission(4);
    let decision = admission.offer(NOW, ticket(1, "nobody"));
    assert!(matches!(decision, admission::Decision::Refuse(_)));
}

#[test]
fn release_frees_concurrency() {
    let mut admission = admission(1_000);
    for request in 0..200 {
        assert_eq!(
            admission.offer(NOW, ticket(request, "large")),
            admission::Decision::Admit
        );
    }
    assert!(matches!(
        admission.offer(NOW, ticket(200, "large")),
        admission::Decision::Refuse(_)
    ));
    admission.release(NOW, 0, true);
    assert_eq!(
        admission.offer(NOW, ticket(201, "large")),
        admission::Decision::Admit
    );
}

#[rstest]
#[case::equal_demand(2, 16)]
#[case::tenfold_demand(60, 8)]
fn offer_limits_heavy_workspace(#[case] before: u64, #[case] most: usize) {
    let mut admission = admission(16);
    for (request, workspace) in [(1, "small"), (2, "small"), (3, "heavy"), (4, "heavy")] {
        admission.offer(NOW, ticket(request, workspace));
        admission.release(NOW, request, true);
    }
    for request in 1_000..1_000 + before {
        admission.offer(NOW, ticket(request, "large"));
    }
    for request in 1_000..1_000 + before {
        admission.release(NOW, request, false);
    }
    let offers = (2_000..2_004 + most as u64)
        .filter(|&request| {
            admission.offer(NOW, ticket(request, "large")) == admission::Decision::Admit
        })
        .count();
    assert!(
        offers <= most && offers >= most.min(7),
        "{offers} of 16 slots"
    );
    assert_eq!(
        admission.offer(NOW, ticket(3_000, "small")),
        admission::Decision::Admit
    );
}

#[rstest]
#[case::alone(&[], 16)]
#[case::no_capacity_elsewhere(&["small"], 1)]
fn offer_serves_heavy_without_competition(#[case] present: &[&str], #[case] capacity: u32) {
    let mut admission = admission(capacity);
    for (request, workspace) in (1..).zip(present) {
        admission.offer(NOW, ticket(request, workspace));
        admission.release(NOW, request, true);
    }
    let offers = (100..130).map(|request| admission.offer(NOW, ticket(request, "large")));
    let admitted = offers
        .filter(|decision| *decision == admission::Decision::Admit)
        .count();
    assert_eq!(admitted as u32, capacity);
}

#[test]
fn offer_admits_nothing_without_capacity() {
    let mut admission = admission(0);
    let mut decisions = (0..5).map(|request| admission.offer(NOW, ticket(request, "large")));
    assert!(decisions.all(|decision| decision != admission::Decision::Admit));
}
