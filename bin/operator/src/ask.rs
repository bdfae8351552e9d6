//! Calls every process of the deployment.

use std::time::Duration;

use cowslipchute_base::id::Instance;
use cowslipchute_follow::peers::Peers;
use cowslipchute_ports::list::Member;
use cowslipchute_ports::peer::Call;
use cowslipchute_ports::peer::Reply;
use cowslipchute_spread::rank;
use futures_util::StreamExt;
use futures_util::stream;
use tokio::time::timeout;

/// Maximum number of processes called at once.
const CALLS_MAX: usize = 32;
/// Timeout of the call to one process.
const CALL_TIMEOUT: Duration = Duration::from_millis(1000);

/// Response of a process, if it answered in time.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The process as listed.
    pub member: Member,
    /// Response of the process.
    pub reply: Option<Reply>,
}

/// Calls every live process of the deployment, as listed, except `me`.
pub async fn all<P: Peers>(
    peers: &Option<P>,
    call: &Call,
    me: &Instance,
    members: &[Member],
) -> Vec<Answer> {
    let others =
        members.iter().filter(|member| rank::is_follower(member) && member.instance != *me);
    let calls: Vec<_> =
        others.map(|member| one(peers.clone(), call.clone(), member.clone())).collect();
    stream::iter(calls).buffered(CALLS_MAX).collect().await
}

async fn one<P: Peers>(peers: Option<P>, call: Call, member: Member) -> Answer {
    let Some(peers) = peers else { return Answer { member, reply: None } };
    let reply = timeout(CALL_TIMEOUT, peers.call(member.address, &call)).await;
    Answer { member, reply: reply.ok().and_then(Result::ok) }
}
