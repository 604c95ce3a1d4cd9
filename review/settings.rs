//! The configurations of sidecars, with the settings that the operators' interface page shows (galway),
//! and those of a deployment where a second copy may be sent (almaty).

use std::net::SocketAddr;

/// The deployment whose settings are used.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Site {
    Galway,
    Almaty,
}

pub struct Parameters<'a> {
    pub site: Site,
    pub name: &'a str,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub known: &'a str,
    pub balancers: usize,
    pub ordinal: usize,
    pub seed: u64,
    pub memory_mb: usize,
}

pub fn config(parameters: &Parameters) -> String {
    let Parameters { site, name, listen, discovery, known, balancers, ordinal, seed, memory_mb } = parameters;
    let settings = match site {
        Site::Galway => galway(*balancers, *ordinal),
        Site::Almaty => almaty(*balancers, *ordinal),
    };
    format!(
        r#"{{"name":"{name}","listen":"{listen}","discovery":"{discovery}","seed":"{seed:x}",
"limits":{{"cores":1.0,"memory_mb":{memory_mb},"sockets":1024}},
"known":{known},
"settings":{settings}}}
"#
    )
}

fn galway(balancers: usize, ordinal: usize) -> String {
    format!(
        r#"{{"Balancers":{balancers},"Ordinal":{ordinal},"BeyondShareUtility":0.1,"Callers":{{"MarksRetry":true}},
"Costs":{{"Connection":0.0,"CrossZone":0.0,"Discovery":0.0,"Handshake":0.0,"LateFail":0.03,"Moves":0.0,"Origin":0.0,"Peer":0.0,"Probe":0.03,"Waste":0.014}},
"Discovery":"subscribe","Domain":{{"PassesDeadline":true}},"Family":"chain",
"Goal":{{"Whole":0.6,"WorstClass":0.2,"WorstTenant":0.1,"WorstWindow":0.1}},
"Localities":["galway"],"Models":["front-fast","front-mid","front-slow"],"MyZone":0,
"PolicyLimits":{{"ConnIdle":30000000,"CpuUsPerRequest":0.0,"CpuUsPerS":400000,"DialTimeout":100000,"MaxOpen":20000,"MaxRetryAfter":2500000,"MayCancel":true,"MostRelays":6,"Multiplex":1,"ParallelTries":false,"Peers":false,"Probes":true,"RetryAfter":true}},
"Report":{{"Fields":["cpu","waiting","avg_ms"],"How":"probe"}},"Resolution":5000,
"Rules":{{"AnswerSlack":20000,"AskEvery":10000000,"Cold":8800000,"ColdShare":0.31,"DrainGrace":2500000,"Fall":2000000,"TipMultiple":3.0}},
"Tenants":[{{"Name":"corrib-insurance","QuotaRps":70.0,"Share":0.61}},{{"Name":"shannon-print","QuotaRps":29.0,"Share":0.25}},{{"Name":"claddagh-legal","QuotaRps":16.0,"Share":0.14}}],
"Tier":0,"Tiers":["booking-front","desk-core"],"UtilityBasis":"work",
"Verbs":[
{{"Effect":"idempotent","KeyScope":"all","MemorySpan":5000000,"Name":"floor-view","OverdueUtility":0.0,"ResponseGoal":2000000,"Streaming":false,"TimeLimit":5000000,"Utility":5.0}},
{{"Effect":"deduplicated","KeyScope":"cell","MemorySpan":2500000,"Name":"desk-hold","OverdueUtility":0.0,"ResponseGoal":750000,"Streaming":false,"TimeLimit":1500000,"Utility":3.0}},
{{"Effect":"at_most_once","KeyScope":"all","MemorySpan":5000000,"Name":"desk-confirm","OverdueUtility":0.0,"ResponseGoal":800000,"Streaming":false,"TimeLimit":2000000,"Utility":10.0}}],
"Weights":"none"}}"#
    )
}

fn almaty(balancers: usize, ordinal: usize) -> String {
    format!(
        r#"{{"Balancers":{balancers},"Ordinal":{ordinal},"BeyondShareUtility":1.0,"Callers":{{"MarksRetry":true}},
"Costs":{{"Connection":0.05,"CrossZone":0.02,"Discovery":0.0,"Handshake":0.05,"LateFail":0.03,"Moves":0.0,"Origin":0.0,"Peer":0.01,"Probe":0.01,"Waste":0.02}},
"Discovery":"subscribe","Domain":{{"PassesDeadline":true}},"Family":"mesh",
"Goal":{{"Whole":0.55,"WorstClass":0.3,"WorstTenant":0.0,"WorstWindow":0.15}},
"Localities":["almaty-dc","astana-dc"],"Models":["fast-4c","std-4c","old-4c"],"MyZone":0,
"PolicyLimits":{{"ConnIdle":60000000,"CpuUsPerRequest":0.0,"CpuUsPerS":100000,"DialTimeout":150000,"MaxOpen":20000,"MaxRetryAfter":2000000,"MayCancel":true,"MostRelays":3,"Multiplex":1,"ParallelTries":true,"Peers":true,"Probes":true,"RetryAfter":true}},
"Report":{{"Fields":["rps","cpu"],"How":"answers"}},"Resolution":5000,
"Rules":{{"AnswerSlack":20000,"AskEvery":10000000,"Cold":8600000,"ColdShare":0.31,"DrainGrace":500000,"Fall":3000000,"TipMultiple":3.0}},
"Tenants":[],"Tier":0,"Tiers":["similarity-nodes"],"UtilityBasis":"request",
"Verbs":[
{{"Effect":"idempotent","KeyScope":"all","MemorySpan":5000000,"Name":"report-view","OverdueUtility":0.2,"ResponseGoal":600000,"Streaming":false,"TimeLimit":2000000,"Utility":3.0}},
{{"Effect":"deduplicated","KeyScope":"cell","MemorySpan":4000000,"Name":"submit-check","OverdueUtility":0.3,"ResponseGoal":2500000,"Streaming":false,"TimeLimit":6000000,"Utility":5.0}},
{{"Effect":"at_most_once","KeyScope":"all","MemorySpan":5000000,"Name":"quota-charge","OverdueUtility":0.2,"ResponseGoal":300000,"Streaming":false,"TimeLimit":1500000,"Utility":5.0}}],
"Weights":"rough"}}"#
    )
}
