//! Server of the control interface: checks the fleet key and passes calls to the control loop.

use super::fleet::{DaemonReport, ReportAnswer};
use super::ledger::{ControlCommand, TableEdit};
use super::links::{FleetKey, LeaderHint, MAX_MESSAGE_BYTES, connect};
use super::quarantine_log::QuarantineRow;
use super::requests::{ControlHandle, ControlRequest};
use super::rpc::{
    ApplyAnswer, ControlApiClient, ControlApiServer, DaemonStatus, HistoryRow, JoinAnswer,
    LeaderAnswer, VoterExit, VoterRow,
};
use crate::claim::{ClaimCommand, ClaimReply};
use crate::evacuation::{EvacuationOrder, EvacuationRecord};
use crate::quarantine::RequestFingerprint;
use crate::replica::{FleetId, ReplicaEnvelope, VoterId};
use crate::rollout::{RolloutOrder, RolloutRecord, RolloutReply};
use crate::table::{CellChange, DaemonName, VersionedTable};
use futures_util::future::BoxFuture;
use http::{Request, Response, StatusCode, header};
use jsonrpsee::core::{ClientError, RpcResult, async_trait};
use jsonrpsee::server::{HttpBody, Server, ServerConfig, ServerHandle};
use jsonrpsee::types::ErrorObjectOwned;
use jsonrpsee::ws_client::WsClient;
use std::net::SocketAddr;
use std::sync::Arc;
use std::task::{Context, Poll};
use subtle::ConstantTimeEq;
use tokio::sync::oneshot;

/// JSON-RPC error code returned after the control loop has ended.
const LOOP_ENDED_CODE: i32 = -32_000;
/// Maximum number of connections, from the daemons of the fleet and some operators.
const MAX_CONNECTIONS: u32 = 4_096;

/// Starts the control interface server on a bound listener.
pub async fn start_server(
    listener: std::net::TcpListener,
    key: FleetKey,
    control: ControlHandle,
    hint: LeaderHint,
) -> std::io::Result<ServerHandle> {
    let service_key = key.clone();
    let config = ServerConfig::builder()
        .max_request_body_size(MAX_MESSAGE_BYTES)
        .max_response_body_size(MAX_MESSAGE_BYTES)
        .max_connections(MAX_CONNECTIONS)
        .set_tcp_no_delay(true)
        .build();
    let middleware = tower::ServiceBuilder::new()
        .layer_fn(move |inner| KeyCheck { inner, expected: Arc::from(key.bearer()) });
    let server = Server::builder()
        .set_config(config)
        .set_http_middleware(middleware)
        .build_from_tcp(listener)?;
    Ok(server.start(ControlService { control, key: service_key, hint }.into_rpc()))
}

/// HTTP middleware that rejects requests without the fleet key.
#[derive(Clone)]
struct KeyCheck<S> {
    inner: S,
    expected: Arc<str>,
}

impl<S, B> tower::Service<Request<B>> for KeyCheck<S>
where
    S: tower::Service<Request<B>, Response = Response<HttpBody>>,
    S::Future: Send + 'static,
    S::Error: Send + 'static,
{
    type Response = Response<HttpBody>;
    type Error = S::Error;
    type Future = BoxFuture<'static, Result<Self::Response, Self::Error>>;

    fn poll_ready(&mut self, context: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        self.inner.poll_ready(context)
    }

    fn call(&mut self, request: Request<B>) -> Self::Future {
        let given =
            request.headers().get(header::AUTHORIZATION).map_or(&b""[..], |value| value.as_bytes());
        if bool::from(given.ct_eq(self.expected.as_bytes())) {
            return Box::pin(self.inner.call(request));
        }
        let mut refusal = Response::new(HttpBody::empty());
        *refusal.status_mut() = StatusCode::UNAUTHORIZED;
        Box::pin(async move { Ok(refusal) })
    }
}

struct ControlService {
    control: ControlHandle,
    key: FleetKey,
    hint: LeaderHint,
}

impl ControlService {
    async fn ask<T>(
        &self,
        request: impl FnOnce(oneshot::Sender<T>) -> ControlRequest,
    ) -> RpcResult<T> {
        let answer = self.control.ask(request).await;
        answer.ok_or_else(|| {
            ErrorObjectOwned::owned(LOOP_ENDED_CODE, "the control loop has ended", None::<()>)
        })
    }

    /// Forwards an operator's call to the leader, so that operators can call any daemon. Returns
    /// the leader's answer, or `Elsewhere` if the leader cannot be reached.
    async fn forward_to_leader<T, F>(
        &self,
        answer: LeaderAnswer<T>,
        call: impl FnOnce(WsClient) -> F,
    ) -> RpcResult<LeaderAnswer<T>>
    where
        F: Future<Output = Result<LeaderAnswer<T>, ClientError>>,
    {
        let LeaderAnswer::Elsewhere(leader) = answer else { return Ok(answer) };
        let Some(address) = leader.or_else(|| self.hint.get()) else {
            return Ok(LeaderAnswer::Elsewhere(None));
        };
        let Ok(client) = connect(address, &self.key).await else {
            return Ok(LeaderAnswer::Elsewhere(None));
        };
        match call(client).await {
            Ok(LeaderAnswer::Done(done)) => Ok(LeaderAnswer::Done(done)),
            _ => Ok(LeaderAnswer::Elsewhere(None)),
        }
    }
}

#[async_trait]
impl ControlApiServer for ControlService {
    async fn replica(
        &self,
        envelope: ReplicaEnvelope<ControlCommand>,
    ) -> RpcResult<Vec<ReplicaEnvelope<ControlCommand>>> {
        self.ask(|reply| ControlRequest::Replica { envelope: Box::new(envelope), reply }).await
    }

    async fn known_table(&self) -> RpcResult<Option<VersionedTable>> {
        self.ask(|reply| ControlRequest::KnownTable { reply }).await
    }

    async fn newer_table(&self, known: u64) -> RpcResult<Option<Arc<str>>> {
        self.ask(|reply| ControlRequest::NewerTable { known, reply }).await
    }

    async fn fleet_size(&self) -> RpcResult<usize> {
        self.ask(|reply| ControlRequest::FleetSize { reply }).await
    }

    async fn serving_members(&self) -> RpcResult<Vec<SocketAddr>> {
        self.ask(|reply| ControlRequest::ServingMembers { reply }).await
    }

    async fn report(&self, report: DaemonReport) -> RpcResult<LeaderAnswer<ReportAnswer>> {
        self.ask(|reply| ControlRequest::Report { report, reply }).await
    }

    async fn claims(
        &self,
        commands: Vec<ClaimCommand>,
    ) -> RpcResult<LeaderAnswer<Vec<ClaimReply>>> {
        self.ask(|reply| ControlRequest::Claims { commands, reply }).await
    }

    async fn join(
        &self,
        voter: VoterId,
        control: SocketAddr,
    ) -> RpcResult<LeaderAnswer<JoinAnswer>> {
        self.ask(|reply| ControlRequest::Join { voter, control, reply }).await
    }

    async fn voter_stopping(&self, voter: VoterId) -> RpcResult<LeaderAnswer<VoterExit>> {
        self.ask(|reply| ControlRequest::VoterStopping { voter, reply }).await
    }

    async fn fleet(&self) -> RpcResult<Option<FleetId>> {
        self.ask(|reply| ControlRequest::Fleet { reply }).await
    }

    async fn apply(&self, edit: TableEdit, wait: bool) -> RpcResult<LeaderAnswer<ApplyAnswer>> {
        let copy = Box::new(edit.clone());
        let answer = self.ask(|reply| ControlRequest::Apply { edit: copy, wait, reply }).await?;
        self.forward_to_leader(answer, |client| async move { client.apply(edit, wait).await }).await
    }

    async fn table(&self, version: Option<u64>) -> RpcResult<LeaderAnswer<Option<VersionedTable>>> {
        let answer = self.ask(|reply| ControlRequest::Table { version, reply }).await?;
        self.forward_to_leader(answer, |client| async move { client.table(version).await }).await
    }

    async fn diff(
        &self,
        before: u64,
        after: u64,
    ) -> RpcResult<LeaderAnswer<Option<Vec<CellChange>>>> {
        let answer = self.ask(|reply| ControlRequest::Diff { before, after, reply }).await?;
        self.forward_to_leader(answer, |client| async move { client.diff(before, after).await })
            .await
    }

    async fn history(&self, most: usize) -> RpcResult<LeaderAnswer<Vec<HistoryRow>>> {
        let answer = self.ask(|reply| ControlRequest::History { most, reply }).await?;
        self.forward_to_leader(answer, |client| async move { client.history(most).await }).await
    }

    async fn voters(&self) -> RpcResult<LeaderAnswer<Vec<VoterRow>>> {
        let answer = self.ask(|reply| ControlRequest::Voters { reply }).await?;
        self.forward_to_leader(answer, |client| async move { client.voters().await }).await
    }

    async fn voter_rule(
        &self,
        daemon: DaemonName,
        allowed: bool,
    ) -> RpcResult<LeaderAnswer<Vec<VoterRow>>> {
        let name = daemon.clone();
        let answer =
            self.ask(|reply| ControlRequest::VoterRule { daemon: name, allowed, reply }).await?;
        self.forward_to_leader(
            answer,
            |client| async move { client.voter_rule(daemon, allowed).await },
        )
        .await
    }

    async fn quarantine(&self) -> RpcResult<LeaderAnswer<Vec<QuarantineRow>>> {
        let answer = self.ask(|reply| ControlRequest::Quarantine { reply }).await?;
        self.forward_to_leader(answer, |client| async move { client.quarantine().await }).await
    }

    async fn release(
        &self,
        request: RequestFingerprint,
    ) -> RpcResult<LeaderAnswer<Vec<QuarantineRow>>> {
        let answer = self.ask(|reply| ControlRequest::Release { request, reply }).await?;
        self.forward_to_leader(answer, |client| async move { client.release(request).await }).await
    }

    async fn rollout(&self, order: RolloutOrder) -> RpcResult<LeaderAnswer<RolloutReply>> {
        let copy = order.clone();
        let answer = self.ask(|reply| ControlRequest::Rollout { order: copy, reply }).await?;
        self.forward_to_leader(answer, |client| async move { client.rollout(order).await }).await
    }

    async fn rollouts(&self) -> RpcResult<LeaderAnswer<Vec<RolloutRecord>>> {
        let answer = self.ask(|reply| ControlRequest::Rollouts { reply }).await?;
        self.forward_to_leader(answer, |client| async move { client.rollouts().await }).await
    }

    async fn evacuate(&self, order: EvacuationOrder) -> RpcResult<LeaderAnswer<EvacuationRecord>> {
        let copy = order.clone();
        let answer = self.ask(|reply| ControlRequest::Evacuate { order: copy, reply }).await?;
        self.forward_to_leader(answer, |client| async move { client.evacuate(order).await }).await
    }

    async fn evacuations(&self) -> RpcResult<LeaderAnswer<Vec<EvacuationRecord>>> {
        let answer = self.ask(|reply| ControlRequest::Evacuations { reply }).await?;
        self.forward_to_leader(answer, |client| async move { client.evacuations().await }).await
    }

    async fn status(&self) -> RpcResult<DaemonStatus> {
        self.ask(|reply| ControlRequest::Status { reply }).await
    }

    async fn drain(&self) -> RpcResult<()> {
        self.ask(|reply| ControlRequest::Drain { reply }).await
    }
}
