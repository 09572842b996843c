//! Tables that compare policies.

use policy::ServiceRank;

use crate::RunMetrics;

/// Formats the metrics of several policies as two tables, by policy and by policy and rank.
pub fn format_metrics(runs: &[RunMetrics]) -> String {
    let mut text = format!(
        "{:<18} {:>7} {:>7} {:>6} {:>7} {:>6} {:>6} {:>8}\n",
        "policy", "goodput", "answers", "roles", "pauses", "waste", "cache", "at once"
    );
    for metrics in runs {
        text += &format!(
            "{:<18} {:>7.4} {:>7.4} {:>6} {:>7} {:>5.1}% {:>5.1}% {:>7.1}%\n",
            metrics.policy,
            metrics.goodput,
            metrics.goodput_unweighed,
            metrics.role_changes,
            metrics.pauses,
            metrics.wasted * 100.0,
            metrics.cache_hits * 100.0,
            metrics.refusals_at_once * 100.0,
        );
    }
    text += &format!(
        "\n{:<18} {:<9} {:>7} {:>7} {:>7} {:>7} {:>7} {:>6} {:>23} {:>20}\n",
        "policy",
        "rank",
        "offered",
        "target",
        "late",
        "slow",
        "refused",
        "work",
        "first ms 50/95/99",
        "gap ms 50/95/99"
    );
    for metrics in runs {
        for rank in ServiceRank::ALL {
            let rank_metrics = &metrics.ranks[rank];
            text += &format!(
                "{:<18} {:<9} {:>7} {:>6.2}% {:>6.2}% {:>6.2}% {:>6.2}% {:>5.1}% {:>23} {:>20}\n",
                metrics.policy,
                rank.as_str(),
                rank_metrics.offered,
                rank_metrics.in_target * 100.0,
                rank_metrics.late * 100.0,
                rank_metrics.slow * 100.0,
                rank_metrics.refused * 100.0,
                rank_metrics.work_share * 100.0,
                join_percentiles(rank_metrics.first_token_ms, 0),
                join_percentiles(rank_metrics.gap_ms, 1),
            );
        }
    }
    text
}

fn join_percentiles(values: [f64; 3], digits: usize) -> String {
    values.map(|value| format!("{value:.digits$}")).join("/")
}
