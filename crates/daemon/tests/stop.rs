//! The stage of a stop only advances.

use cowslipchute_daemon::stop;
use cowslipchute_daemon::stop::Stage;

#[tokio::test]
async fn a_stop_never_moves_back() {
    let (switch, mut stop) = stop::open();
    assert_eq!(stop.stage(), Stage::Running);
    switch.advance(Stage::Forced);
    switch.advance(Stage::Draining);
    stop.wait_for_stage(Stage::Draining).await;
    assert_eq!(stop.stage(), Stage::Forced);
}
