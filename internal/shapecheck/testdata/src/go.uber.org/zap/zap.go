package zap
