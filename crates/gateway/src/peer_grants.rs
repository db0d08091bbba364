//! Queries peers for the latest lease grant while this router's own lease is not renewed. If other routers still get
//! leases, this one must stop, as the configuration may change without it. If an outage of the core affects all
//! routers, it must go on.

use crate::prelude::*;

/// The path on which routers report their latest grant.
pub const GRANTS_PATH: &str = "/relay/grants";
/// The number of peers queried in one round.
const PEERS_PER_ROUND: usize = 3;
const ROUND_INTERVAL: Duration = Duration::from_millis(300);
const MIN_PAUSE: Span = Span::millis(50);
/// How often to check whether queries are needed.
const IDLE_PAUSE: Span = Span::millis(500);
const QUERY_TIMEOUT: Span = Span::millis(700);
const MAX_RESPONSE_BYTES: usize = 256;

/// The task that queries peers while this router's lease is not renewed.
pub struct PeerGrantQuery {
    pub node: NodeId,
    pub shared: Arc<SharedState>,
}

impl PeerGrantQuery {
    /// Runs until the process ends.
    pub async fn run(self) {
        let mut rng = SeededRng::new(self.node.0);
        let mut was_passed_over = false;
        loop {
            let now = boot_now();
            let (ask_peers_from, is_passed_over) =
                self.shared.with_grants(|grants| (grants.ask_peers_from(), grants.is_passed_over()));
            if is_passed_over != was_passed_over {
                self.log_passed_over(is_passed_over);
                was_passed_over = is_passed_over;
            }
            let pause = ask_peers_from.map_or(IDLE_PAUSE, |ask_peers_from| ask_peers_from.since(now).min(IDLE_PAUSE));
            if pause > Span(0) {
                tokio::time::sleep(pause.max(MIN_PAUSE).as_duration()).await;
                continue;
            }
            self.query_peers(&mut rng);
            tokio::time::sleep(ROUND_INTERVAL).await;
        }
    }

    fn log_passed_over(&self, is_passed_over: bool) {
        let edition = self.shared.snapshot().state.edition;
        match is_passed_over {
            true => event!(warn, "passed_over", edition = edition, reason = "other routers are being granted leases"),
            false => event!(info, "granted_again", edition = edition),
        }
    }

    /// Queries a few random peers; responses are recorded as they arrive.
    fn query_peers(&self, rng: &mut SeededRng) {
        let routers = self.shared.routers();
        let is_peer = |router: &&RouterAddress| router.router != self.node && router.relay.is_some();
        let mut peers: Vec<&RouterAddress> = routers.iter().filter(is_peer).collect();
        if peers.is_empty() {
            self.shared.with_grants(|grants| grants.confirm_without_peers(boot_now()));
            return;
        }
        for _ in 0..PEERS_PER_ROUND.min(peers.len()) {
            let peer = peers.swap_remove(rng.below(peers.len() as u64) as usize);
            let Some(address) = peer.relay.clone() else { continue };
            tokio::spawn(query_peer(address, Arc::clone(&self.shared)));
        }
    }
}

async fn query_peer(address: String, shared: Arc<SharedState>) {
    let query_sent = boot_now();
    let response =
        fetch_response(&address, OutgoingRequest::get(GRANTS_PATH), QUERY_TIMEOUT, MAX_RESPONSE_BYTES).await;
    let Ok((StatusCode::OK, _, body)) = response else { return };
    let Ok(report) = rmp_serde::from_slice::<GrantReport>(&body) else { return };
    shared.with_grants(|grants| grants.record_peer_report(report, query_sent, boot_now()));
}
