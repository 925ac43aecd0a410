
servers©