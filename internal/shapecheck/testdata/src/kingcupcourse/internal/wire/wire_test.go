package wire

const inTest = "Attempt-Id"
