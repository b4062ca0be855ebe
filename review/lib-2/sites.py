"""Bounds of the sites that the cases name, from the users' sheets."""

PETA_DECK = {"seed_lag_s": 3, "addr_reuse_s": 2, "stable_window_ms": 3000, "ack_timeout_ms": 4000, "catch_up_s": 4,
             "drain_ms": 2000, "grace_s": 8, "loss_slack_ms": 200, "config_apply_ms": 2000,
             "rollback_slack_ms": 250, "max_stretch_ms": 5000, "retry_budget_ratio": 0.2, "budget_window_s": 10,
             "budget_slack": 64, "recovery_s": 12, "pass_ms": 120, "retry_after_s": 0, "require_fence": True,
             "lease_ms": 3000, "thaw_slack_ms": 300, "ceiling_window_s": 5, "ceiling_overage": 1.1}

PETA_DECK_GROWN = PETA_DECK | {"stable_window_ms": 4000, "ack_timeout_ms": 5000, "catch_up_s": 6, "drain_ms": 2500,
                               "config_apply_ms": 2500, "max_stretch_ms": 6000, "budget_slack": 88, "recovery_s": 15,
                               "pass_ms": 200}
