use googletest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::*;

const MILLISECOND: Duration = Duration::from_millis(1);

fn holding(phase: IntakePhase, since: Instant, bytes: usize) -> IntakeHolding {
    IntakeHolding {
        phase,
        since,
        bytes,
    }
}

#[gtest]
fn a_request_that_may_have_run_never_gives_way() {
    let start = Instant::now();
    let now = start + Duration::from_hours(1);
    let running = [(1, holding(IntakePhase::Running, start, 1 << 20))];
    for resource in [
        ScarceResource::Connections,
        ScarceResource::Requests,
        ScarceResource::Answers,
    ] {
        expect_that!(choose_yielding(running, resource, now), none());
    }
}

#[gtest]
fn only_what_frees_the_resource_gives_way() {
    let start = Instant::now();
    let now = start + Duration::from_secs(5);
    let holdings = [
        (1, holding(IntakePhase::Idle, start, 80_000)),
        (2, holding(IntakePhase::Body, start, 300_000)),
        (3, holding(IntakePhase::Answer, start, 200_000)),
    ];
    let chosen = |resource| choose_yielding(holdings, resource, now);
    expect_that!(chosen(ScarceResource::Connections), some(eq(2)));
    expect_that!(chosen(ScarceResource::Requests), some(eq(2)));
    expect_that!(chosen(ScarceResource::Answers), some(eq(3)));
}

#[gtest]
fn a_vm_keeps_some_of_its_memory_and_some_descriptors_for_itself() {
    for (memory, descriptors) in [
        (64_000_000, 200),
        (160_000_000, 4_096),
        (512_000_000, 8_192),
    ] {
        let budget = IntakeBudget::new(memory, descriptors);
        let bytes = budget.connection_bytes + budget.request_bytes + budget.answer_bytes;
        expect_that!(bytes, le(memory * 6 / 10));
        let taken = budget.connections + 3 * budget.control_connections + budget.peer_connections;
        expect_that!(taken, le(descriptors * 9 / 10));
    }
}

/// A body in the replay: how many bytes it has, how fast it sends, and whether it stops one byte short.
struct ReplayBody {
    since: Instant,
    bytes: usize,
    length: usize,
    bytes_per_ms: usize,
    stalls: bool,
}

/// Replays the load pattern: a crowd that stops short of the end of large bodies, or sends them byte by byte, beside
/// ordinary callers. All of these finish, and the sum never exceeds the budget.
#[gtest]
fn a_crowd_that_never_finishes_does_not_take_the_room_of_those_who_do() {
    const ORDINARY: usize = 2_000;
    const LONG: usize = 262_144;
    let budget = IntakeBudget::new(64_000_000, 4_096);
    for seed in 0..10 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut bodies: Vec<ReplayBody> = Vec::new();
        let (mut finished, mut refused) = (0, 0);
        let mut now = Instant::now();
        for _ in 0..3_000 {
            now += MILLISECOND;
            let is_slow = rng.random_bool(0.3);
            bodies.push(ReplayBody {
                since: now,
                bytes: 0,
                length: LONG,
                bytes_per_ms: if is_slow { 1_000 } else { LONG },
                stalls: true,
            });
            bodies.push(ReplayBody {
                since: now,
                bytes: 0,
                length: ORDINARY,
                bytes_per_ms: 500,
                stalls: false,
            });
            let mut index = 0;
            while index < bodies.len() {
                let used: usize = bodies.iter().map(|body| body.bytes).sum();
                expect_that!(used, le(budget.request_bytes));
                let body = &bodies[index];
                let end = body.length - usize::from(body.stalls);
                let next = (body.bytes + body.bytes_per_ms).min(end);
                if budget.allows_request(used, body.bytes, next) {
                    bodies[index].bytes = next;
                } else {
                    let holdings = bodies.iter().enumerate().map(|(index, body)| {
                        (index, holding(IntakePhase::Body, body.since, body.bytes))
                    });
                    let chosen = choose_yielding(holdings, ScarceResource::Requests, now);
                    let gone = bodies.swap_remove(chosen.unwrap_or(index));
                    refused += usize::from(!gone.stalls);
                    continue;
                }
                let body = &bodies[index];
                if !body.stalls && body.bytes == body.length {
                    finished += 1;
                    bodies.swap_remove(index);
                    continue;
                }
                index += 1;
            }
        }
        expect_that!(refused, eq(0), "seed {seed}");
        expect_that!(finished, ge(2_990), "seed {seed}");
    }
}
