//! Routers ask each other when a lease was granted last, once their own is not renewed: one that is passed over
//! must not go on with a configuration that changes without it, and one that shares an outage of the core must.

use crate::prelude::*;

/// The page on which other routers ask.
pub const GRANT_PAGE: &str = "/relay/grants";
/// So many routers are asked at a time.
const ASKED_AT_ONCE: usize = 3;
/// Between two rounds of questions.
const ROUND_PAUSE: Duration = Duration::from_millis(300);
const SHORTEST_PAUSE: Span = Span::millis(50);
/// How long a router that needs no questions rests before it looks again.
const IDLE_PAUSE: Span = Span::millis(500);
const QUESTION_LIMIT: Span = Span::millis(700);
const MOST_ANSWER_BYTES: usize = 256;

/// Asks others while this router's lease is not renewed.
pub struct GrantInquiry {
    pub node: NodeId,
    pub shared: Arc<SharedState>,
}

impl GrantInquiry {
    /// Goes on for the life of the process.
    pub async fn keep(self) {
        let mut draw = SeededRng::new(self.node.0);
        let mut was_passed_over = false;
        loop {
            let now = boot_now();
            let (ask_peers_from, is_passed_over) =
                self.shared.with_grants(|grants| (grants.ask_peers_from(), grants.is_passed_over()));
            if is_passed_over != was_passed_over {
                self.note(is_passed_over);
                was_passed_over = is_passed_over;
            }
            let rest = ask_peers_from.map_or(IDLE_PAUSE, |ask_peers_from| ask_peers_from.since(now).min(IDLE_PAUSE));
            if rest > Span(0) {
                tokio::time::sleep(rest.max(SHORTEST_PAUSE).as_duration()).await;
                continue;
            }
            self.ask_some(&mut draw);
            tokio::time::sleep(ROUND_PAUSE).await;
        }
    }

    fn note(&self, is_passed_over: bool) {
        let edition = self.shared.snapshot().state.edition;
        match is_passed_over {
            true => event!(warn, "passed_over", edition = edition, reason = "others are granted leases"),
            false => event!(info, "granted_again", edition = edition),
        }
    }

    /// Asks a few routers, drawn anew each time; answers are taken as they come.
    fn ask_some(&self, draw: &mut SeededRng) {
        let routers = self.shared.routers();
        let is_other = |router: &&RouterAddress| router.router != self.node && router.relay.is_some();
        let mut others: Vec<&RouterAddress> = routers.iter().filter(is_other).collect();
        if others.is_empty() {
            self.shared.with_grants(|grants| grants.confirm_without_peers(boot_now()));
            return;
        }
        for _ in 0..ASKED_AT_ONCE.min(others.len()) {
            let drawn = others.swap_remove(draw.below(others.len() as u64) as usize);
            let Some(address) = drawn.relay.clone() else { continue };
            tokio::spawn(ask_one(address, Arc::clone(&self.shared)));
        }
    }
}

async fn ask_one(address: String, shared: Arc<SharedState>) {
    let asked = boot_now();
    let answer = fetch_response(&address, OutgoingRequest::get(GRANT_PAGE), QUESTION_LIMIT, MOST_ANSWER_BYTES).await;
    let Ok((StatusCode::OK, _, body)) = answer else { return };
    let Ok(news) = rmp_serde::from_slice::<GrantReport>(&body) else { return };
    shared.with_grants(|grants| grants.record_peer_report(news, asked, boot_now()));
}
