//! Versions of the configuration that move routes from one service to another, as operators do: all of them or some.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Routes that are moved.
pub(super) const MOVED_ROUTES: [&str; 4] = ["read", "once", "extra", "home"];
/// Services between which they are moved.
pub(super) const MOVE_SERVICES: [&str; 2] = ["single", "twin"];

/// The service of a moved route in a version of the configuration. It follows from the seed and the version alone, so that
/// the judge knows it as well.
pub(super) fn service_of(seed: u64, version: u64, route: &str) -> &'static str {
    /// Difference of versions after which routes move: two versions that are written one after the other differ by 3.
    const TURN: u64 = 6;
    /// Share of the moves that put all routes at one service.
    const ALL_SHARE: f64 = 0.5;
    /// Beyond the streams from which events are drawn.
    const FIRST_STREAM: u64 = 1_000;
    let turn = version / TURN;
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(FIRST_STREAM + turn);
    if rng.random_bool(ALL_SHARE) {
        return MOVE_SERVICES[turn as usize % MOVE_SERVICES.len()];
    }
    let places = MOVED_ROUTES.map(|_route| rng.random_range(0..MOVE_SERVICES.len()));
    let place = MOVED_ROUTES.iter().position(|moved| *moved == route);
    MOVE_SERVICES[place.map_or(0, |place| places[place])]
}
