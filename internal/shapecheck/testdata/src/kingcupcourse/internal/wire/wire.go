package wire

const (
	header = "Attempt-Id"                // want `"Attempt-Id" is a name of the platform's wire`
	path   = "GET /kingcupcourse/readyz" // want `"/kingcupcourse/" is a name of the platform's wire`
	own    = "Kingcup-Deadline-Ms"
)
