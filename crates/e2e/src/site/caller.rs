//! A client of a deployment. It can be cloned, so that calls wait beside each other.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use cowslipchute_ports::job::JobId;
use cowslipchute_ports::job::Spec;
use cowslipchute_standin::site::Site;
use reqwest::Client;
use reqwest::Response;
use reqwest::StatusCode;
use serde_json::Value;

use super::CLIENT_TIME;
use super::HOST;
use super::body;

/// A client.
#[derive(Clone, Debug)]
pub struct Caller {
    client: Client,
    site: Site,
    members: BTreeMap<String, SocketAddr>,
}

impl Caller {
    pub(super) fn open(site: Site) -> reqwest::Result<Caller> {
        let client = Client::builder().timeout(CLIENT_TIME).no_proxy().build()?;
        Ok(Caller { client, site, members: BTreeMap::new() })
    }

    pub(super) fn add_member(&mut self, name: &str, address: SocketAddr) {
        self.members.insert(name.to_owned(), address);
    }

    pub(super) fn client(&self) -> &Client {
        &self.client
    }

    /// Hands a job in at a member; the status, or nothing without an answer.
    pub async fn submit(&self, member: &str, id: JobId, spec: &Spec) -> Option<StatusCode> {
        self.site.lock().jobs.insert(id, spec.clone());
        let answer = self.send(member, &path(id), body(spec).to_string()).await?;
        Some(answer.status())
    }

    /// Sends a body to a path of a member.
    pub(super) async fn send(&self, member: &str, path: &str, body: String) -> Option<Response> {
        let url = format!("http://{}{path}", self.members.get(member)?);
        self.client.post(url).header("Host", HOST).body(body).send().await.ok()
    }

    /// Asks a member for a job's state; the status and the state, or nothing without an answer.
    pub async fn state(&self, member: &str, id: JobId) -> Option<(StatusCode, String)> {
        let url = format!("http://{}{}", self.members.get(member)?, path(id));
        let answer = self.client.get(url).header("Host", HOST).send().await.ok()?;
        let status = answer.status();
        let body: Value = answer.json().await.unwrap_or_default();
        Some((status, body["state"].as_str().unwrap_or_default().to_owned()))
    }

    /// Cancels a job at a member.
    pub async fn cancel(&self, member: &str, id: JobId) -> Option<StatusCode> {
        let url = format!("http://{}{}", self.members.get(member)?, path(id));
        Some(self.client.delete(url).header("Host", HOST).send().await.ok()?.status())
    }
}

fn path(id: JobId) -> String {
    format!("/q/{id:016x}")
}
