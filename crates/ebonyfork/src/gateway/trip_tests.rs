use googletest::prelude::*;
use tokio::net::TcpListener;

use super::*;

#[gtest]
fn a_new_connection_has_cost_more() {
    let trip = CallerTrip::new(Duration::from_millis(6));
    expect_that!(trip.time(true), eq(Duration::from_millis(18)));
    expect_that!(trip.time(false), eq(Duration::from_millis(12)));
    let lost = CallerTrip::new(Duration::from_secs(3));
    expect_that!(lost.time(false), eq(LONGEST * 2));
}

#[gtest]
#[tokio::test]
async fn the_kernel_knows_the_loopback_to_be_near() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let (stream, accepted) = tokio::join!(TcpStream::connect(address), listener.accept());
    let _stream = stream.expect("connected");
    let (accepted, _peer) = accepted.expect("accepted");
    expect_that!(CallerTrip::measure(&accepted).time(false), le(LONGEST * 2));
}
