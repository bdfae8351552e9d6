//! Settings of the operator process.

use std::net::SocketAddr;
use std::path::PathBuf;

use bpaf::Bpaf;
use cowslipchute_daemon::settings::Common;
use cowslipchute_daemon::settings::common;

/// Settings of the operator process.
#[derive(Clone, Debug)]
#[derive(Bpaf)]
#[bpaf(options, version)]
pub struct Settings {
    /// Settings that every daemon has.
    #[bpaf(external(common))]
    pub common: Common,
    /// Address of the resource interface
    #[bpaf(long("listen"), env("COWSLIPCHUTE_LISTEN"), argument("IP:PORT"))]
    pub listen: SocketAddr,
    /// URL of the platform's key-value service
    #[bpaf(
        long("store"),
        env("COWSLIPCHUTE_STORE"),
        argument::<String>("URL"),
        parse(url)
    )]
    pub store: String,
    /// URL of the platform's list of instances
    #[bpaf(
        long("list"),
        env("COWSLIPCHUTE_LIST"),
        argument::<String>("URL"),
        parse(url)
    )]
    pub list: String,
    /// Links to other processes of ours.
    #[bpaf(external(links), optional)]
    pub links: Option<Links>,
    /// Admin addresses of the placers whose events are shown, separated by commas or given one by one
    #[bpaf(
        long("events-from"),
        env("COWSLIPCHUTE_EVENTS_FROM"),
        argument::<String>("IP:PORT"),
        many,
        parse(addresses)
    )]
    pub events_from: Vec<SocketAddr>,
}

/// Links to other processes of ours; without them only the store is followed.
#[derive(Clone, Debug)]
#[derive(Bpaf)]
pub struct Links {
    /// Address for links from other processes
    #[bpaf(long("peer-listen"), env("COWSLIPCHUTE_PEER_LISTEN"), argument("IP:PORT"))]
    pub listen: SocketAddr,
    /// File with the certificate of this process, in PEM
    #[bpaf(long("peer-cert"), env("COWSLIPCHUTE_PEER_CERT"), argument("FILE"))]
    pub cert: PathBuf,
    /// File with the private key of that certificate, in PEM
    #[bpaf(long("peer-key"), env("COWSLIPCHUTE_PEER_KEY"), argument("FILE"))]
    pub key: PathBuf,
    /// File with the authority that every process of the deployment is certified by, in PEM
    #[bpaf(long("peer-ca"), env("COWSLIPCHUTE_PEER_CA"), argument("FILE"))]
    pub ca: PathBuf,
}

fn url(text: String) -> Result<String, String> {
    let url = reqwest::Url::parse(&text);
    if url.is_ok_and(|url| matches!(url.scheme(), "http" | "https") && url.has_host()) {
        return Ok(text);
    }
    Err(format!("{text:?} is no URL such as http://10.0.0.1:2379"))
}

fn addresses(given: Vec<String>) -> Result<Vec<SocketAddr>, String> {
    let words = given.iter().flat_map(|some| some.split(',')).map(str::trim);
    let words = words.filter(|word| !word.is_empty());
    words.map(|word| word.parse().map_err(|_| format!("{word:?} is no IP:PORT"))).collect()
}
